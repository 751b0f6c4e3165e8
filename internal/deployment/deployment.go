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

// Deployment is a deployment that this process started.
type Deployment struct {
	layout   Layout
	dir      string
	planner  *planner
	launcher *launcher
	cli      *cli

	mu       sync.Mutex
	manifest Manifest
	// expected holds the PIDs whose end is no failure.
	expected map[int]bool
	// cuts holds the addresses that each process is cut off from, by its name.
	cuts map[string][]string
}

// New prepares a deployment. Dir gets its data, logs and manifest; binDir holds the programs.
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
			return nil, errors.Wrap(err, "make the deployment's folder")
		}
	}
	return &Deployment{
		layout:   layout,
		dir:      dir,
		planner:  &planner{layout: layout, binDir: binDir, dir: dir, ports: processPorts},
		launcher: newLauncher(filepath.Join(dir, "logs")),
		manifest: Manifest{Routes: layout.Routes()},
		expected: map[int]bool{},
		cuts:     map[string][]string{},
	}, nil
}

// Start starts everything and returns when calls are answered at every node. After an error, Stop ends what was started.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.startControl(ctx); err != nil {
		return err
	}
	for _, service := range d.layout.Services {
		if _, err := d.startServers(service, service.Version, 1); err != nil {
			return err
		}
	}
	return d.whileAllRun(ctx, d.waitForCalls)
}

// startControl starts the control instances and applies the first configuration.
func (d *Deployment) startControl(ctx context.Context) error {
	controls, err := d.planner.controls()
	if err != nil {
		return err
	}
	for i := range controls {
		if err := os.MkdirAll(filepath.Join(d.dir, "data", controls[i].Instance), 0o755); err != nil {
			return errors.Wrap(err, "make a data folder")
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
	return d.whileAllRun(ctx, func(ctx context.Context) error {
		return poll(ctx, "the first configuration", func(ctx context.Context) error {
			_, err := d.cli.run(ctx, "apply", "-f", name)
			return err
		})
	})
}

// startServers starts a version of a service and the nodes beside it.
func (d *Deployment) startServers(service Service, version string, firstNumber int) ([]Process, error) {
	processes, err := d.planner.servers(service, version, firstNumber)
	if err != nil {
		return nil, err
	}
	return processes, d.startAll(processes)
}

// startAll starts processes and adds them to the manifest; the PIDs are set in the list given.
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

// Processes returns the processes that were started.
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

// Stop ends all processes that were started.
func (d *Deployment) Stop() error {
	processes := d.Processes()
	d.expect(processes...)
	return stopAll(processes)
}

func (d *Deployment) expect(processes ...Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, process := range processes {
		d.expected[process.PID] = true
	}
}

// whileAllRun runs a step and ends it with an error as soon as a process ends that should run.
func (d *Deployment) whileAllRun(ctx context.Context, step func(context.Context) error) error {
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
		case ended := <-d.launcher.exits:
			if !d.isExpected(ended.process) {
				cancel(d.launcher.failure(ended))
			}
		}
	}
}

// CheckRunning returns an error if a process has ended by itself since the last look.
func (d *Deployment) CheckRunning() error {
	for {
		select {
		case ended := <-d.launcher.exits:
			if !d.isExpected(ended.process) {
				return d.launcher.failure(ended)
			}
		default:
			return nil
		}
	}
}

func (d *Deployment) isExpected(process Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expected[process.PID]
}

// waitForCalls waits until every process is ready and every node answers a call of every idempotent route.
func (d *Deployment) waitForCalls(ctx context.Context) error {
	processes := d.Processes()
	for i := range processes {
		process := &processes[i]
		if err := poll(ctx, process.name()+" to be ready", process.checkReady); err != nil {
			return err
		}
	}
	if err := poll(ctx, "the backend servers to be known", d.checkMembers); err != nil {
		return err
	}
	for _, node := range byRole(processes, RoleNode) {
		for _, route := range d.layout.Routes() {
			if !route.Idempotent {
				continue
			}
			url := "http://" + node.CallerAddr + strings.Replace(route.Path, "*", "first", 1)
			what := "an answer of " + route.Service + " at " + node.Instance
			if err := poll(ctx, what, func(ctx context.Context) error { return expectOK(ctx, url) }); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkMembers returns an error unless the control group knows every backend server.
func (d *Deployment) checkMembers(ctx context.Context) error {
	processes := d.Processes()
	control := byRole(processes, RoleControl)[0]
	client := apiv1.NewMembershipProtobufClient("http://"+control.ControlAddr, pollClient)
	members, err := client.List(ctx, &apiv1.ListMembersRequest{})
	if err != nil {
		return errors.Wrap(err, "list the members")
	}
	if want := len(byRole(processes, RoleBackendServer)); len(members.Servers) < want {
		return errors.Errorf("%d of %d are known", len(members.Servers), want)
	}
	return nil
}

// checkReady asks the process whether it can serve.
func (p *Process) checkReady(ctx context.Context) error {
	path := "/readyz"
	if p.Role == RoleBackendServer {
		path = "/health"
	}
	return expectOK(ctx, "http://"+p.AdminAddr+path)
}

// startTimeout bounds the start of a deployment.
const startTimeout = 60 * time.Second
