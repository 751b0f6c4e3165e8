package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Terms of the deployment, as the site file of rota-cera has them.
const (
	heartbeatInterval = 870 * time.Millisecond
	stableWindow      = 3 * time.Second
	ackTime           = 4 * time.Second
	drainTime         = 2 * time.Second
	graceTime         = 6 * time.Second
	propagationTime   = 2 * time.Second
	memoryMB          = 280
	slots             = 12
)

// restartDelay is the time after which the platform starts a process again that ended.
const restartDelay = 500 * time.Millisecond

// world is one deployment with its platform. All of its addresses are loopback addresses.
type world struct {
	root    string
	dir     string
	began   time.Time
	trouble bool
	network string
	ports   map[string]int

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	seeds    []string
	closed   bool
}

// machine is one machine of the deployment. It runs one process of the system and, on a sidecar machine, one backend.
type machine struct {
	world   *world
	name    string
	ip      string
	zone    string
	core    bool
	service string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// keep is set while the platform starts the process again when it ends.
	keep bool
	// ends counts the ends of the process that no signal of the case caused.
	ends int
}

func newWorld() (*world, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "samphireflowd")); err != nil {
		return nil, fmt.Errorf("build the programs by the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record}
	for !w.drawAddresses() {
		continue
	}
	w.logf("TROUBLE=%t", w.trouble)
	return w, nil
}

// Ports of a deployment: those of Listen and of the backend from the first on, and the internal ones.
const (
	portCount     = 26
	internalPorts = 16
	maxMachines   = 10
)

// drawAddresses draws a loopback network and ports, and reports whether all of them are free.
func (w *world) drawAddresses() bool {
	w.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	base := 21000 + 40*rand.IntN(200)
	w.ports = map[string]int{"Internal": base + portCount - internalPorts}
	for i, name := range []string{"Inbound", "Outbound", "Ready", "Control", "App"} {
		w.ports[name] = base + i
	}
	for i := 1; i <= maxMachines; i++ {
		for port := base; port < base+portCount; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(w.network+strconv.Itoa(i), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// logf writes a line to record.txt, with the time since the start of the case in seconds.
func (w *world) logf(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(w.record, line)
}

// fail ends a case that cannot run.
func (w *world) fail(format string, values ...any) {
	panic(fmt.Sprintf(format, values...))
}

func (w *world) addMachine(name, zone, service string) *machine {
	m := &machine{world: w, name: name, zone: zone, service: service, core: service == ""}
	m.ip = w.network + strconv.Itoa(len(w.machines)+1)
	w.machines = append(w.machines, m)
	if m.core && len(w.seeds) < 3 {
		w.seeds = append(w.seeds, m.addr("Control"))
	}
	return m
}

func (m *machine) addr(port string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.world.ports[port]))
}

// startAll starts the processes of all machines.
func (w *world) startAll() {
	for _, m := range w.machines {
		if m.core {
			if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
				w.fail("%v", err)
			}
		}
		m.writeSettings(true)
	}
	for _, m := range w.machines {
		m.start()
	}
}

func (m *machine) dataDir() string { return filepath.Join(m.world.dir, "data-"+m.name) }

func (m *machine) settingsPath() string { return filepath.Join(m.world.dir, m.name+".toml") }

// writeSettings writes the settings file as the platform does: to another name first, and then renamed.
func (m *machine) writeSettings(bootstrap bool) {
	w := m.world
	var b strings.Builder
	p := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	p("[LocalNode]")
	p("Node = %q", m.name)
	p("Ip = %q", m.ip)
	p("Zone = %q", m.zone)
	p("Region = %q", "centro")
	p("CountsAsFault = %t", m.core)
	p("Bootstrap = %t", bootstrap)
	memory := 284
	if m.core {
		memory = memoryMB
		p("Role = %q\nClass = %q\nServes = [%q]", "control", "core", "control_plane")
		p("DataDir = %q", m.dataDir())
	} else {
		p("Role = %q\nClass = %q\nServes = [%q]", "node", "sidecar", "sidecar")
		p("AppAddr = %q", m.addr("App"))
		p("Service = %q", m.service)
	}
	p("[LocalNode.Limits]\nCpuShare = 0.48\nCores = 1\nMemoryMb = %d\nMaxFds = 4096\nLinkMbps = 1000.0", memory)
	p("[Network]\nInternalPortRange = [%d,%d]", w.ports["Internal"], w.ports["Internal"]+internalPorts-1)
	p("Seeds = [\"%s\"]", strings.Join(w.seeds, `","`))
	p("[Network.Listen]\nControl = %q", m.addr("Control"))
	if !m.core {
		p("Inbound = %q\nOutbound = %q\nReady = %q", m.addr("Inbound"), m.addr("Outbound"), m.addr("Ready"))
	}
	p("[Network.Zones]\ncentro-a = \"centro\"\ncentro-b = \"centro\"\ncentro-c = \"centro\"")
	p("[Platform]\nDiscovery = \"static\"\nEntry = \"static\"\nHeartbeatIntervalS = %g", heartbeatInterval.Seconds())
	p("[Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"rollout\"]")
	p("[Terms.FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0")
	p("[Terms.Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowS = %g\nAckS = %g\nCatchUpS = 4\nDrainS = %g\nGraceS = %g\nLossSlackS = 0.2", stableWindow.Seconds(), ackTime.Seconds(), drainTime.Seconds(), graceTime.Seconds())
	p("ConfigPropagationS = %g\nRollbackDeadlineS = 0.25\nMaxStretchS = 5\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 64", propagationTime.Seconds())
	p("ExposureShare = 0.1\nExposureSlack = 50\nRollbackS = 5\nRecoverS = 15")
	temporary := m.settingsPath() + ".new"
	if err := os.WriteFile(temporary, []byte(b.String()), 0o600); err != nil {
		w.fail("%v", err)
	}
	if err := os.Rename(temporary, m.settingsPath()); err != nil {
		w.fail("%v", err)
	}
}

// start starts the process with the command of the deploy file. The platform starts it again whenever it ends.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keep = true
	m.launch()
}

// launch starts the process. mu must be held.
func (m *machine) launch() {
	w := m.world
	if !m.keep {
		return
	}
	output, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("%v", err)
	}
	defer output.Close()
	command := exec.Command(filepath.Join("target", "samphireflowd"))
	command.Path = filepath.Join(w.root, "target", "samphireflowd")
	command.Dir = w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREFLOW_SETTINGS=" + m.settingsPath()}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		w.fail("start of %s: %v", m.name, err)
	}
	process, exited := command.Process, make(chan struct{})
	m.process, m.exited = process, exited
	go func() {
		err := command.Wait()
		m.mu.Lock()
		close(exited)
		again := m.process == process && m.keep
		if m.process == process {
			m.process = nil
		}
		if again {
			m.ends++
			w.logf("%s: its process ended by itself: %v", m.name, err)
		}
		m.mu.Unlock()
		if again {
			time.Sleep(restartDelay)
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.process == nil {
				m.launch()
			}
		}
	}()
}

// stop ends the process with a signal, waits until it has ended, and SIGKILLs it after graceTime as the platform does.
func (m *machine) stop(signal syscall.Signal) {
	m.mu.Lock()
	m.keep = false
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = process.Kill()
		<-exited
	}
	m.world.logf("%s: process ended after %v", m.name, signal)
}

// signal sends a signal to the running process.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(signal)
	}
}

// residentMB returns the resident memory of the process in MB, 0 if it does not run.
func (m *machine) residentMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(m.process.Pid) + "/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() / 1_000_000
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	var group sync.WaitGroup
	for _, m := range w.machines {
		group.Go(func() {
			m.mu.Lock()
			m.keep = false
			process, exited := m.process, m.exited
			m.mu.Unlock()
			if process != nil {
				_ = process.Kill()
				<-exited
			}
		})
	}
	group.Wait()
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", w.dir)
	}
}
