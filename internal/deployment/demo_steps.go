package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/backendserver"
	"samphireflow/internal/tree"
)

const (
	topTimeout      = 1500 * time.Millisecond
	overrideTimeout = 900 * time.Millisecond
	laterTimeout    = 1400 * time.Millisecond
	// convergenceTarget is the time within which an edit is in force on every node.
	convergenceTarget = 11 * time.Second
	// moveDeadline is the time that a move gets.
	moveDeadline = 30 * time.Second
	// moveWatch is the time for which a whole move is still judged.
	moveWatch = 3 * time.Second
	// badErrorRate is the share of calls that a bad version fails.
	badErrorRate = 0.5
	// badCallsTarget is the share of a service's calls that a bad version may get until it is taken back.
	badCallsTarget = 0.10
	// quietTarget is the time after which a version that was taken back gets no calls.
	quietTarget = 3 * time.Second
	// callsWatched is the time over which calls are counted.
	callsWatched = 3 * time.Second

	goodVersion = "v2"
	badVersion  = "v3-bad"
	// Instance numbers of later versions start here.
	goodFirstNumber = 21
	badFirstNumber  = 31
)

func (d *demo) stepStart(ctx context.Context) (string, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d processes, %s", len(d.Processes()), seconds(time.Since(started))), nil
}

func (d *demo) stepEditTop(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", topTimeout, func(string) time.Duration { return topTimeout })
}

func (d *demo) stepOverride(ctx context.Context) (string, error) {
	service := d.layout.Services[0].Name
	path := tree.Path{Level: tree.LevelService, Service: service}
	return d.edit(ctx, path.String(), overrideTimeout, d.withOverride(topTimeout))
}

func (d *demo) stepEditAfterKill(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", laterTimeout, d.withOverride(laterTimeout))
}

// withOverride returns the call timeout of each service when the first one has the override.
func (d *demo) withOverride(others time.Duration) func(service string) time.Duration {
	return func(service string) time.Duration {
		if service == d.layout.Services[0].Name {
			return overrideTimeout
		}
		return others
	}
}

// edit sets the call timeout of a branch and waits until every node that runs has the timeouts expected.
func (d *demo) edit(ctx context.Context, path string, timeout time.Duration, expected func(string) time.Duration) (string, error) {
	started := time.Now()
	if _, err := d.cli.run(ctx, "set", path, tree.KeyCallTimeout+"="+timeout.String()); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, convergenceTarget)
	defer cancel()
	nodes := d.nodes()
	if err := awaitTimeouts(ctx, nodes, expected); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d nodes in %s (target %s)", len(nodes), seconds(time.Since(started)), seconds(convergenceTarget)), nil
}

func (d *demo) stepCalls(ctx context.Context) (string, error) {
	before := d.countByDomain()
	if err := wait(ctx, callsWatched); err != nil {
		return "", err
	}
	after := d.countByDomain()
	calls := 0
	for i, domain := range d.layout.Domains {
		sent := after[i].calls - before[i].calls
		good := after[i].good - before[i].good
		calls += sent
		if sent == 0 || good != sent {
			return "", errors.Errorf("%d of %d calls from %s were answered well", good, sent, domain.Name)
		}
	}
	return fmt.Sprintf("%d of %d calls from %d failure domains", calls, calls, len(d.layout.Domains)), nil
}

func (d *demo) countByDomain() []count {
	counts := make([]count, 0, len(d.layout.Domains))
	for _, domain := range d.layout.Domains {
		counts = append(counts, d.traffic.tally.sum(func(s served) bool { return s.domain == domain.Name }))
	}
	return counts
}

func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(duration):
		return nil
	}
}

// stepGoodVersion moves a service to a good version and kills a control instance and a node meanwhile.
func (d *demo) stepGoodVersion(ctx context.Context) (string, error) {
	service := d.layout.Services[1]
	if _, err := d.startVersion(ctx, service, goodVersion, goodFirstNumber); err != nil {
		return "", err
	}
	started := time.Now()
	if err := d.startMove(ctx, service.Name, goodVersion); err != nil {
		return "", err
	}
	if err := d.killSome(ctx); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, moveDeadline+moveWatch)
	defer cancel()
	move, err := d.cli.awaitMove(ctx, service.Name, goodVersion, apiv1.MoveState_MOVE_STATE_DONE)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s done %s after its start (deadline %s)", move.Service, seconds(time.Since(started)), seconds(moveDeadline)), nil
}

// startVersion starts backend servers of a version and waits until they are ready.
func (d *demo) startVersion(ctx context.Context, service Service, version string, firstNumber int) ([]Process, error) {
	processes, err := d.startServers(service, version, firstNumber)
	if err != nil {
		return nil, err
	}
	for i := range processes {
		if err := poll(ctx, processes[i].name()+" to be ready", processes[i].checkReady); err != nil {
			return nil, err
		}
	}
	return processes, nil
}

func (d *demo) startMove(ctx context.Context, service, version string) error {
	_, err := d.cli.run(ctx, "move", "start", "--deadline", moveDeadline.String(), "--watch", moveWatch.String(), service, version)
	return err
}

// killSome kills the leading control instance and the first service's last node.
func (d *demo) killSome(ctx context.Context) error {
	control, err := d.leader(ctx)
	if err != nil {
		return err
	}
	service := d.layout.Services[0].Name
	for _, node := range byRole(d.Processes(), RoleNode) {
		if node.Service == service {
			d.killed = node
		}
	}
	d.expect(control, d.killed)
	signalAll([]Process{control, d.killed}, syscall.SIGKILL)
	return nil
}

// leader returns the control instance that leads.
func (d *demo) leader(ctx context.Context) (Process, error) {
	controls := byRole(d.Processes(), RoleControl)
	for _, control := range controls {
		client := apiv1.NewStatusProtobufClient("http://"+control.ControlAddr, pollClient)
		status, err := client.Get(ctx, &apiv1.StatusRequest{})
		if err == nil && status.Leader == control.Instance {
			return control, nil
		}
	}
	return Process{}, errors.New("no control instance says that it leads")
}

// stepBadVersion moves a service to a version that fails half of its calls.
func (d *demo) stepBadVersion(ctx context.Context) (string, error) {
	service := d.layout.Services[2]
	processes, err := d.startVersion(ctx, service, badVersion, badFirstNumber)
	if err != nil {
		return "", err
	}
	for _, server := range byRole(processes, RoleBackendServer) {
		if err := makeBad(ctx, server); err != nil {
			return "", err
		}
	}
	before := d.countService(service.Name, "")
	started := time.Now()
	if err := d.startMove(ctx, service.Name, badVersion); err != nil {
		return "", err
	}
	moveCtx, cancel := context.WithTimeout(ctx, moveDeadline+moveWatch)
	defer cancel()
	if _, err := d.cli.awaitMove(moveCtx, service.Name, badVersion, apiv1.MoveState_MOVE_STATE_TAKEN_BACK); err != nil {
		return "", err
	}
	takenBack := time.Now()
	all := d.countService(service.Name, "").calls - before.calls
	bad := d.countService(service.Name, badVersion).calls
	return d.judgeBadVersion(ctx, service.Name, float64(bad)/float64(max(all, 1)), takenBack, takenBack.Sub(started))
}

func (d *demo) judgeBadVersion(ctx context.Context, service string, share float64, takenBack time.Time, took time.Duration) (string, error) {
	if err := wait(ctx, quietTarget+time.Second); err != nil {
		return "", err
	}
	quiet := max(d.traffic.tally.lastAnswer(service, badVersion).Sub(takenBack), 0)
	figure := fmt.Sprintf("%s taken back after %s; it got %.1f%% of calls, none from %s on", service, seconds(took), 100*share, seconds(quiet))
	if share > badCallsTarget {
		return figure, errors.Errorf("the bad version got %.1f%% of the calls", 100*share)
	}
	if quiet > quietTarget {
		return figure, errors.Errorf("the bad version got calls %s after it was taken back", seconds(quiet))
	}
	return figure, nil
}

// countService counts the calls of a service that a version answered; an empty version counts all.
func (d *demo) countService(service, version string) count {
	return d.traffic.tally.sum(func(s served) bool {
		return s.service == service && (version == "" || s.version == version)
	})
}

// makeBad makes a backend server fail a share of its calls.
func makeBad(ctx context.Context, server Process) error {
	rate := badErrorRate
	set := backendserver.FaultSet{Faults: []backendserver.Fault{{Kind: backendserver.FaultError, Rate: &rate}}}
	text, err := json.Marshal(set)
	if err != nil {
		return errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.AdminAddr+"/faults", bytes.NewReader(text))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := pollClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("set faults: %s", response.Status)
	}
	return nil
}

func (d *demo) stepAnswers(context.Context) (string, error) {
	faults := d.traffic.tally.answersToldWrong()
	all := d.traffic.tally.sum(func(served) bool { return true })
	if len(faults) > 0 {
		return "", errors.Errorf("%d of %d answers, for example: %s", len(faults), all.calls, faults[0])
	}
	return fmt.Sprintf("%d of %d", all.calls, all.calls), nil
}

func (d *demo) stepRuns(ctx context.Context) (string, error) {
	told := d.traffic.tally.toldByKey()
	runs, err := countRuns(ctx, byRole(d.Processes(), RoleBackendServer))
	if err != nil {
		return "", err
	}
	if err := checkRuns(told, runs); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d bookings, %d without an answer, %d executions", len(told), unanswered(told), len(runs)), nil
}

func (d *demo) stepStop(context.Context) (string, error) {
	started := time.Now()
	if err := d.Stop(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d processes, %s", len(d.Processes()), seconds(time.Since(started))), nil
}
