package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "samphireflow/api/v1"
)

// EnableFaultInjection makes BlockTraffic and PartitionDomains possible for the processes that are started after the
// call.
func (d *Deployment) EnableFaultInjection() {
	d.planner.faultInjection = true
}

// EnableTracing makes the processes that are started after the call write spans to files in dir. Only calls that their
// callers sample are traced.
func (d *Deployment) EnableTracing(dir string) {
	d.planner.traceDir = dir
}

// LogFiles returns the paths of the log files of all processes.
func (d *Deployment) LogFiles() ([]string, error) {
	names, err := filepath.Glob(filepath.Join(d.launcher.logDir, "*.log"))
	return names, errors.Wrap(err, "list the logs")
}

// CLI runs the command-line tool against the control instances and returns its standard output.
func (d *Deployment) CLI(ctx context.Context, args ...string) (string, error) {
	return d.cli.run(ctx, args...)
}

// StartVersion starts backend servers of another version of a service, a node beside each.
func (d *Deployment) StartVersion(service, version string, firstNumber int) ([]Process, error) {
	for _, known := range d.layout.Services {
		if known.Name == service {
			return d.startServers(known, version, firstNumber)
		}
	}
	return nil, errors.Errorf("there is no service %q", service)
}

// Kill kills a process, as a crash does, and waits until it is gone.
func (d *Deployment) Kill(process Process) error {
	return d.signalAndWait(process, syscall.SIGKILL)
}

// Terminate asks a process to shut down gracefully and waits until it is gone.
func (d *Deployment) Terminate(process Process) error {
	return d.signalAndWait(process, syscall.SIGTERM)
}

// signalAndWait sends a process a signal that ends it and waits until it is reaped.
func (d *Deployment) signalAndWait(process Process, signal syscall.Signal) error {
	d.expectExit(process)
	signalAll([]Process{process}, signal)
	if !awaitExits([]Process{process}, startTimeout) || !awaitReaped(process.PID, startTimeout) {
		return errors.Errorf("%s does not exit", process.name())
	}
	return nil
}

// awaitReaped reports whether a child process is reaped within the timeout. Only then has the kernel closed all its
// files, among them the lock of its data folder.
func awaitReaped(pid int, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for syscall.Kill(pid, 0) == nil {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// Pause suspends a process until Resume.
func (d *Deployment) Pause(process Process) error {
	return errors.Wrapf(syscall.Kill(process.PID, syscall.SIGSTOP), "pause %s", process.name())
}

// Resume continues a process that Pause has suspended.
func (d *Deployment) Resume(process Process) error {
	return errors.Wrapf(syscall.Kill(process.PID, syscall.SIGCONT), "resume %s", process.name())
}

// envBlockedAddrs names the environment variable with the addresses that a process cannot send to from its start on.
const envBlockedAddrs = "SAMPHIREFLOW_FAULT_INJECTION_CUTS"

// Restart starts an exited process again with the same command line and returns it with its new PID. What BlockTraffic
// has blocked for it stays blocked.
func (d *Deployment) Restart(process Process) (Process, error) {
	d.mu.Lock()
	blocked := d.blockedAddrs[process.name()]
	d.mu.Unlock()
	env := maps.Clone(process.Env)
	delete(env, envBlockedAddrs)
	if env == nil {
		env = map[string]string{}
	}
	if len(blocked) > 0 {
		env[envBlockedAddrs] = strings.Join(blocked, ",")
	}
	process.Env = env
	if err := d.launcher.start(&process); err != nil {
		return process, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.manifest.Processes {
		if d.manifest.Processes[i].name() == process.name() {
			d.manifest.Processes[i] = process
		}
	}
	return process, nil
}

// WipeDataDir deletes all data of a control instance that has exited.
func (d *Deployment) WipeDataDir(process Process) error {
	folder := filepath.Join(d.dir, "data", process.Instance)
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "wipe a data folder")
	}
	return errors.Wrap(os.MkdirAll(folder, 0o755), "wipe a data folder")
}

// BlockTraffic replaces the set of processes that a process cannot send to; without any, it can send to all again. Its
// connections to a blocked process hang until a timeout instead of failing at once. If the process does not run, the
// set takes effect with its next start.
func (d *Deployment) BlockTraffic(ctx context.Context, from Process, to ...Process) error {
	blocked := struct {
		Addresses []string `json:"addresses"`
	}{Addresses: []string{}}
	for _, process := range to {
		for _, addr := range []string{process.CallerAddr, process.ControlAddr} {
			if addr != "" {
				blocked.Addresses = append(blocked.Addresses, addr)
			}
		}
	}
	d.mu.Lock()
	d.blockedAddrs[from.name()] = blocked.Addresses
	d.mu.Unlock()
	body, err := json.Marshal(blocked)
	if err != nil {
		return errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+from.AdminAddr+"/cuts", bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if !from.running() {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "block traffic of %s", from.name())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("block traffic of %s: %s", from.name(), response.Status)
	}
	return nil
}

// PartitionDomains blocks traffic between the processes in the given failure domains and all others, in both
// directions. Without a domain, it unblocks all traffic.
func (d *Deployment) PartitionDomains(ctx context.Context, domains ...string) error {
	isolated := map[string]bool{}
	for _, domain := range domains {
		isolated[domain] = true
	}
	processes := d.Processes()
	for _, from := range processes {
		if from.Role == RoleBackendServer {
			continue
		}
		if err := d.BlockTraffic(ctx, from, otherSide(processes, isolated, isolated[from.FailureDomain])...); err != nil {
			return err
		}
	}
	return nil
}

// otherSide returns the processes on the other side of a partition; none if no failure domain is isolated.
func otherSide(processes []Process, isolated map[string]bool, fromIsolated bool) []Process {
	var list []Process
	if len(isolated) == 0 {
		return list
	}
	for _, process := range processes {
		if isolated[process.FailureDomain] != fromIsolated {
			list = append(list, process)
		}
	}
	return list
}

// CountExecutions asks all backend servers how often the request with each idempotency key was executed.
func (d *Deployment) CountExecutions(ctx context.Context) (map[string]int, error) {
	return countExecutions(ctx, byRole(d.Processes(), RoleBackendServer))
}

// AcceptedVersion returns the newest accepted configuration version of the control group.
func (d *Deployment) AcceptedVersion(ctx context.Context) (uint64, error) {
	text, err := d.cli.run(ctx, "--output", "json", "show", "/")
	if err != nil {
		return 0, err
	}
	response := &apiv1.ShowResponse{}
	if err := protojson.Unmarshal([]byte(text), response); err != nil {
		return 0, errors.Wrap(err, "decode the accepted version")
	}
	return response.Version, nil
}

// CLIAt runs the command-line tool against a single control instance and returns its standard output.
func (d *Deployment) CLIAt(ctx context.Context, control Process, args ...string) (string, error) {
	return newCLI(d.planner.binDir, []Process{control}).run(ctx, args...)
}

// ReadLog returns the log of a process, over all its starts.
func (d *Deployment) ReadLog(process Process) ([]byte, error) {
	text, err := os.ReadFile(d.launcher.logFile(&process))
	return text, errors.Wrap(err, "read a log")
}
