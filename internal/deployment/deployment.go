package deployment

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// Deployment is a set of control instances, nodes and backend servers that this process starts and stops.
type Deployment struct {
	layout   Layout
	dir      string
	planner  *planner
	launcher *launcher
	cli      *cli

	mu       sync.Mutex
	manifest Manifest
	// expectedExits holds the PIDs of processes that this process stops or kills itself, so that their exit is no
	// failure.
	expectedExits map[int]bool
	// blockedAddrs holds the addresses that each process cannot send to, by the name of the process.
	blockedAddrs map[string][]string
}

// New prepares a deployment without starting a process. Its data, logs and manifest are written to dir; binDir holds
// the programs.
func New(layout Layout, binDir, dir string) (*Deployment, error) {
	binDir, err := filepath.Abs(binDir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dir, err = filepath.Abs(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, name := range []string{"logs", "data", "executions"} {
		if err := os.MkdirAll(filepath.Join(dir, name), 0o755); err != nil {
			return nil, errors.Wrap(err, "create the deployment's folder")
		}
	}
	return &Deployment{
		layout:        layout,
		dir:           dir,
		planner:       &planner{layout: layout, binDir: binDir, dir: dir, ports: sharedPorts},
		launcher:      newLauncher(filepath.Join(dir, "logs")),
		manifest:      Manifest{Routes: layout.Routes()},
		expectedExits: map[int]bool{},
		blockedAddrs:  map[string][]string{},
	}, nil
}

// Start starts all processes of the layout and returns when every node answers calls. After an error, Stop stops what
// was started.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.startControl(ctx); err != nil {
		return err
	}
	for _, service := range d.layout.Services {
		if _, err := d.startServers(service, service.Version, 1); err != nil {
			return err
		}
	}
	return d.failOnProcessExit(ctx, d.awaitCalls)
}

// startControl starts the control instances and applies the first configuration.
func (d *Deployment) startControl(ctx context.Context) error {
	controls, err := d.planner.planControls()
	if err != nil {
		return err
	}
	for i := range controls {
		if err := os.MkdirAll(filepath.Join(d.dir, "data", controls[i].Instance), 0o755); err != nil {
			return errors.Wrap(err, "create a data folder")
		}
	}
	if err := d.startAll(controls); err != nil {
		return err
	}
	d.cli = newCLI(d.planner.binDir, controls)
	text, err := firstConfiguration(d.layout)
	if err != nil {
		return err
	}
	name := filepath.Join(d.dir, "first.yaml")
	if err := os.WriteFile(name, text, 0o644); err != nil {
		return errors.Wrap(err, "write the first configuration")
	}
	return d.failOnProcessExit(ctx, func(ctx context.Context) error {
		return poll(ctx, "the first configuration", func(ctx context.Context) error {
			_, err := d.cli.run(ctx, "apply", "-f", name)
			return err
		})
	})
}

// startServers starts the backend servers of a version of a service and a node beside each.
func (d *Deployment) startServers(service Service, version string, firstNumber int) ([]Process, error) {
	processes, err := d.planner.planServers(service, version, firstNumber)
	if err != nil {
		return nil, err
	}
	return processes, d.startAll(processes)
}

// startAll starts processes, sets their PIDs in the given list and adds them to the manifest.
func (d *Deployment) startAll(processes []Process) error {
	for i := range processes {
		if err := d.launcher.start(&processes[i]); err != nil {
			return err
		}
		d.mu.Lock()
		d.manifest.Processes = append(d.manifest.Processes, processes[i])
		d.mu.Unlock()
	}
	return nil
}

// Processes returns all processes that were started, including those that have exited since.
func (d *Deployment) Processes() []Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Process(nil), d.manifest.Processes...)
}

// WriteManifest writes the manifest into the deployment's folder.
func (d *Deployment) WriteManifest() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.manifest.write(d.dir)
}

// Stop stops all processes that were started.
func (d *Deployment) Stop() error {
	processes := d.Processes()
	d.expectExit(processes...)
	return stopAll(processes)
}

// expectExit marks the exit of processes as expected.
func (d *Deployment) expectExit(processes ...Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, process := range processes {
		d.expectedExits[process.PID] = true
	}
}

// failOnProcessExit runs a step and cancels it as soon as a process exits unexpectedly; the error then says which one.
func (d *Deployment) failOnProcessExit(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- step(ctx) }()
	for {
		select {
		case err := <-done:
			if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
				return errors.WithMessage(err, cause.Error())
			}
			return err
		case exit := <-d.launcher.exits:
			if !d.exitExpected(exit.process) {
				cancel(d.launcher.unexpectedExit(exit))
			}
		}
	}
}

// CheckRunning returns an error if a process has exited unexpectedly since the last check.
func (d *Deployment) CheckRunning() error {
	for {
		select {
		case exit := <-d.launcher.exits:
			if !d.exitExpected(exit.process) {
				return d.launcher.unexpectedExit(exit)
			}
		default:
			return nil
		}
	}
}

func (d *Deployment) exitExpected(process Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expectedExits[process.PID]
}

// awaitCalls waits until every process is ready, every backend server is registered, and every node answers a call to
// every idempotent route.
func (d *Deployment) awaitCalls(ctx context.Context) error {
	processes := d.Processes()
	for i := range processes {
		process := &processes[i]
		if err := poll(ctx, process.name()+" to be ready", process.checkReady); err != nil {
			return err
		}
	}
	if err := poll(ctx, "the backend servers to be registered", d.checkMembers); err != nil {
		return err
	}
	for _, node := range byRole(processes, RoleNode) {
		for _, route := range d.layout.Routes() {
			if !route.Idempotent {
				continue
			}
			url := "http://" + node.CallerAddr + strings.Replace(route.Path, "*", "first", 1)
			what := "a response of " + route.Service + " at " + node.Instance
			if err := poll(ctx, what, func(ctx context.Context) error { return expectOK(ctx, url) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkMembers returns an error unless every backend server is registered with the control group.
func (d *Deployment) checkMembers(ctx context.Context) error {
	processes := d.Processes()
	control := byRole(processes, RoleControl)[0]
	client := apiv1.NewMembershipProtobufClient("http://"+control.ControlAddr, pollClient)
	members, err := client.List(ctx, &apiv1.ListMembersRequest{})
	if err != nil {
		return errors.Wrap(err, "list the members")
	}
	if want := len(byRole(processes, RoleBackendServer)); len(members.Servers) < want {
		return errors.Errorf("%d of %d are registered", len(members.Servers), want)
	}
	return nil
}

// checkReady returns an error unless the process reports that it is ready.
func (p *Process) checkReady(ctx context.Context) error {
	path := "/readyz"
	if p.Role == RoleBackendServer {
		path = "/health"
	}
	return expectOK(ctx, "http://"+p.AdminAddr+path)
}

// startTimeout bounds the start of a deployment, and the wait for a process that is killed or terminated to exit.
const startTimeout = 60 * time.Second
