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

// EnableFaultInjection lets Cut work on the processes that are started from now on.
func (d *Deployment) EnableFaultInjection() {
	d.planner.faultInjection = true
}

// EnableTracing makes the processes that are started from now on write the spans of sampled callers to files in dir.
func (d *Deployment) EnableTracing(dir string) {
	d.planner.traceDir = dir
}

// LogFiles lists the files with the logs of the processes.
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

// Kill ends a process at once, as a crash does.
func (d *Deployment) Kill(process Process) error {
	return d.end(process, syscall.SIGKILL)
}

// Terminate ends a process gracefully and waits for its end.
func (d *Deployment) Terminate(process Process) error {
	return d.end(process, syscall.SIGTERM)
}

func (d *Deployment) end(process Process, signal syscall.Signal) error {
	d.expect(process)
	signalAll([]Process{process}, signal)
	if !awaitGone([]Process{process}, startTimeout) || !awaitReaped(process.PID, startTimeout) {
		return errors.Errorf("%s does not end", process.name())
	}
	return nil
}

// awaitReaped reports whether a child was waited for within a time. Only then has the system closed all its files,
// among them the lock of its data folder.
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

// Pause stops a process without ending it; Thaw lets it go on.
func (d *Deployment) Pause(process Process) error {
	return errors.Wrapf(syscall.Kill(process.PID, syscall.SIGSTOP), "freeze %s", process.name())
}

// Resume lets a frozen process go on.
func (d *Deployment) Resume(process Process) error {
	return errors.Wrapf(syscall.Kill(process.PID, syscall.SIGCONT), "thaw %s", process.name())
}

// envCuts holds the addresses that a process is cut off from at its start.
const envCuts = "SAMPHIREFLOW_FAULT_INJECTION_CUTS"

// Restart starts a process that has ended, with the same command line, and returns it with its new PID. What it
// was cut off from, it is cut off from still.
func (d *Deployment) Restart(process Process) (Process, error) {
	d.mu.Lock()
	cuts := d.cuts[process.name()]
	d.mu.Unlock()
	env := maps.Clone(process.Env)
	delete(env, envCuts)
	if env == nil {
		env = map[string]string{}
	}
	if len(cuts) > 0 {
		env[envCuts] = strings.Join(cuts, ",")
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

// WipeDataDir deletes the data folder of a control instance that has ended.
func (d *Deployment) WipeDataDir(process Process) error {
	folder := filepath.Join(d.dir, "data", process.Instance)
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "blank a disk")
	}
	return errors.Wrap(os.MkdirAll(folder, 0o755), "blank a disk")
}

// BlockTraffic replaces the processes that one process of the system cannot send to, from its next start on when it does not
// run. A cut is silent.
func (d *Deployment) BlockTraffic(ctx context.Context, from Process, to ...Process) error {
	wanted := struct {
		Addresses []string `json:"addresses"`
	}{Addresses: []string{}}
	for _, process := range to {
		for _, addr := range []string{process.CallerAddr, process.ControlAddr} {
			if addr != "" {
				wanted.Addresses = append(wanted.Addresses, addr)
			}
		}
	}
	d.mu.Lock()
	d.cuts[from.name()] = wanted.Addresses
	d.mu.Unlock()
	body, err := json.Marshal(wanted)
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
		return errors.Wrapf(err, "cut %s", from.name())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("cut %s: %s", from.name(), response.Status)
	}
	return nil
}

// PartitionDomains cuts the processes in the given failure domains off from all others, both ways. Without a domain,
// every cut heals.
func (d *Deployment) PartitionDomains(ctx context.Context, domains ...string) error {
	inside := map[string]bool{}
	for _, domain := range domains {
		inside[domain] = true
	}
	processes := d.Processes()
	for _, from := range processes {
		if from.Role == RoleBackendServer {
			continue
		}
		if err := d.BlockTraffic(ctx, from, across(processes, inside, inside[from.FailureDomain])...); err != nil {
			return err
		}
	}
	return nil
}

// across returns the processes on the other side of a cut.
func across(processes []Process, inside map[string]bool, fromInside bool) []Process {
	var list []Process
	if len(inside) == 0 {
		return list
	}
	for _, process := range processes {
		if inside[process.FailureDomain] != fromInside {
			list = append(list, process)
		}
	}
	return list
}

// CountExecutions asks all backend servers how often each key was run.
func (d *Deployment) CountExecutions(ctx context.Context) (map[string]int, error) {
	return countRuns(ctx, byRole(d.Processes(), RoleBackendServer))
}

// AcceptedVersion asks the control group for the newest accepted configuration version.
func (d *Deployment) AcceptedVersion(ctx context.Context) (uint64, error) {
	text, err := d.cli.run(ctx, "--output", "json", "show", "/")
	if err != nil {
		return 0, err
	}
	shown := &apiv1.ShowResponse{}
	if err := protojson.Unmarshal([]byte(text), shown); err != nil {
		return 0, errors.Wrap(err, "read the accepted version")
	}
	return shown.Version, nil
}

// CLIAt runs the command-line tool against one control instance only and returns its standard output.
func (d *Deployment) CLIAt(ctx context.Context, control Process, args ...string) (string, error) {
	return newCLI(d.planner.binDir, []Process{control}).run(ctx, args...)
}

// ReadLog returns what a process has logged, over all its starts.
func (d *Deployment) ReadLog(process Process) ([]byte, error) {
	text, err := os.ReadFile(d.launcher.logName(&process))
	return text, errors.Wrap(err, "read a log")
}
