package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine, relative to the first port of the deployment.
const (
	portInbound = iota
	portAnnounce
	portReady
	portApp
	portOutbound
	portInternal
	portInternalLast = portInternal + 2
	portCount        = portInternalLast + 1
)

// zones are the failure domains of the deployment.
var zones = []string{"centro-a", "centro-b", "centro-c"}

// Deployment is a small deployment of the project's programs on loopback addresses, one address for each machine.
type Deployment struct {
	root, dir string
	network   string
	firstPort int
	record    *Record
	machines  map[string]*Machine
	seeds     []string
}

// Machine is one machine with its process.
type Machine struct {
	deployment *Deployment
	Name       string
	IP         string
	Zone       string
	Service    string
	core       bool
	bootstrap  bool
	process    *exec.Cmd
	exited     chan struct{}
	starts     int
}

// NewDeployment plans a deployment whose addresses are free. It starts nothing.
func NewDeployment(root string, record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{root: root, dir: dir, record: record, machines: map[string]*Machine{}}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(250)+1)
		d.firstPort = 20000 + rand.IntN(9000)
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

// free reports whether the ports are free on the first addresses of the network.
func (d *Deployment) free() bool {
	for host := 1; host <= 16; host++ {
		for port := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", d.network, host, d.firstPort+port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// AddCore adds a machine with a disk that serves control, in the zone with the given number.
func (d *Deployment) AddCore(zone int) *Machine {
	return d.add(fmt.Sprintf("core-%s-1", zones[zone]), zone, "", true)
}

// AddSidecar adds a machine with a node beside a backend of a service.
func (d *Deployment) AddSidecar(number, zone int, service string) *Machine {
	return d.add(fmt.Sprintf("sidecar-%s-%d", zones[zone], number), zone, service, false)
}

// addNamed adds an empty machine of the core that comes later, when the deployment has started.
func (d *Deployment) addNamed(name string, zone int) *Machine {
	seeds := d.seeds
	m := d.add(name, zone, "", true)
	d.seeds, m.bootstrap = seeds, false
	return m
}

func (d *Deployment) add(name string, zone int, service string, core bool) *Machine {
	m := &Machine{deployment: d, Name: name, IP: fmt.Sprintf("%s%d", d.network, len(d.machines)+1), Zone: zones[zone], Service: service, core: core, bootstrap: true}
	d.machines[name] = m
	if core {
		d.seeds = append(d.seeds, m.Addr(portAnnounce))
	}
	return m
}

// Addr returns an address of the machine.
func (m *Machine) Addr(port int) string {
	return fmt.Sprintf("%s:%d", m.IP, m.deployment.firstPort+port)
}

// settings returns the settings file of the machine.
func (m *Machine) settings() string {
	d := m.deployment
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("[LocalNode]")
	p("Node = %q", m.Name)
	p("Ip = %q", m.IP)
	p("Zone = %q", m.Zone)
	p("Region = \"centro\"")
	p("Bootstrap = %v", m.bootstrap)
	p("CountsAsFault = %v", m.core)
	if m.core {
		p("Role = \"control\"\nClass = \"core\"\nServes = [\"control_plane\"]")
		p("DataDir = %q", filepath.Join(d.dir, m.Name, "data"))
	} else {
		p("Role = \"node\"\nClass = \"sidecar\"\nServes = [\"sidecar\"]")
		p("AppAddr = %q\nService = %q", m.Addr(portApp), m.Service)
	}
	p("[LocalNode.Limits]\nCpuShare = 1.0\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 256")
	p("[Network]\nInternalPortRange = [%d,%d]", d.firstPort+portInternal, d.firstPort+portInternalLast)
	p("Seeds = [\"%s\"]", strings.Join(d.seeds, `","`))
	p("[Network.Listen]\nControl = %q", m.Addr(portAnnounce))
	if !m.core {
		p("Inbound = %q\nOutbound = %q\nReady = %q", m.Addr(portInbound), m.Addr(portOutbound), m.Addr(portReady))
	}
	p("[Network.Zones]")
	for _, zone := range zones {
		p("%s = \"centro\"", zone)
	}
	p("[Platform]\nDiscovery = \"static\"\nEntry = \"static\"\nHeartbeatIntervalS = 0.87")
	p("[Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"rollout\"]")
	p("[Terms.FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0")
	p("[Terms.Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nStableWindowS = 3\nAckS = 4\nCatchUpS = 4\nDrainS = 2\nGraceS = 6")
	p("LossSlackS = 0.2\nConfigPropagationS = 2\nRollbackDeadlineS = 0.25\nMaxStretchS = 5\nRetryBudgetRatio = 0.2")
	p("BudgetWindowS = 10\nBudgetSlack = 64\nExposureShare = 0.1\nExposureSlack = 50\nRollbackS = 5\nRecoverS = 15")
	return b.String()
}

// Start starts the process of the machine by the command of the deploy file.
func (m *Machine) Start() error {
	d := m.deployment
	folder := filepath.Join(d.dir, m.Name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	m.starts++
	output, err := os.Create(filepath.Join(folder, fmt.Sprintf("output-%d", m.starts)))
	if err != nil {
		return err
	}
	defer output.Close()
	m.process = exec.Command(filepath.Join(d.root, "target", "samphireflowd"))
	m.process.Dir = d.root
	m.process.Env = []string{"SAMPHIREFLOW_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.process.Stdout, m.process.Stderr = output, output
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	d.record.Note("start of %s, process %d", m.Name, process.Process.Pid)
	return nil
}

// Signal sends a signal to the process of the machine.
func (m *Machine) Signal(signal syscall.Signal) {
	m.deployment.record.Note("%v to %s", signal, m.Name)
	_ = m.process.Process.Signal(signal)
}

// Kill ends the process of the machine at once and waits until it is gone.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// Alive reports whether the process of the machine runs.
func (m *Machine) Alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// Ready reports whether the node says that it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + m.Addr(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all nodes say that they are ready.
func (d *Deployment) AwaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, m := range d.machines {
		for !m.core && !m.Ready() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// StartAll starts all machines for the first time.
func (d *Deployment) StartAll() error {
	for _, m := range d.machines {
		if err := m.StartFirst(); err != nil {
			return err
		}
	}
	return nil
}

// StartFirst starts the machine for the first time; Bootstrap is true only then.
func (m *Machine) StartFirst() error {
	defer func() { m.bootstrap = false }()
	return m.Start()
}

// AwaitAnnounce waits until the address for announcements takes connections.
func (m *Machine) AwaitAnnounce(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", m.Addr(portAnnounce), 100*time.Millisecond); err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// Stop ends all processes that were started and removes the temporary folder.
func (d *Deployment) Stop() {
	for _, m := range d.machines {
		if m.process != nil && m.Alive() {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
