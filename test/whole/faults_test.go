package whole

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// faultPause is the mean pause between two faults.
	faultPause = 1500 * time.Millisecond
	// maxFaultDuration bounds the duration of one fault.
	maxFaultDuration = 5 * time.Second
)

// reservations keeps concurrent injectors from injecting two faults into one instance, or two network faults.
type reservations struct {
	mu        sync.Mutex
	instances map[string]bool
	networkMu sync.Mutex
}

// tryReserve reserves the instance of a process until release is called. It reports whether the instance was free.
func (r *reservations) tryReserve(process deployment.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instances[process.Instance] {
		return false
	}
	r.instances[process.Instance] = true
	return true
}

func (r *reservations) release(process deployment.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.instances, process.Instance)
}

// injector injects one fault after another, chosen by a seeded random source.
type injector struct {
	t            *testing.T
	d            *deployment.Deployment
	random       *rand.Rand
	reservations *reservations
	count        int
}

// run injects faults until the given time. It undoes each fault before the next one.
func (i *injector) run(ctx context.Context, until time.Time) {
	faults := []func(context.Context, time.Duration){i.crashNode, i.crashServer, i.crashControl, i.stopPair, i.pause, i.partitionDomain, i.blockSending}
	for time.Now().Before(until) && ctx.Err() == nil {
		duration := time.Duration(i.random.Int64N(int64(maxFaultDuration)))
		faults[i.random.IntN(len(faults))](ctx, duration)
		sleep(ctx, time.Duration(i.random.Int64N(int64(2*faultPause))))
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// reserveRandom reserves a random process of a role, and retries until it draws one that is free.
func (i *injector) reserveRandom(role deployment.Role) deployment.Process {
	list := harness.ByRole(i.d, role)
	for {
		process := list[i.random.IntN(len(list))]
		if i.reservations.tryReserve(process) {
			return process
		}
	}
}

func (i *injector) logFault(kind string, process deployment.Process) {
	i.count++
	i.t.Logf("%s: %s %s %s", time.Now().Format("15:04:05.000"), kind, process.Role, process.Instance)
}

func (i *injector) reportError(err error) {
	if err != nil {
		i.t.Errorf("injecting or undoing a fault failed: %v", err)
	}
}

func (i *injector) crash(ctx context.Context, process deployment.Process, duration time.Duration) {
	defer i.reservations.release(process)
	i.logFault("crash", process)
	i.reportError(i.d.Kill(process))
	sleep(ctx, duration)
	_, err := i.d.Restart(process)
	i.reportError(err)
}

func (i *injector) crashNode(ctx context.Context, duration time.Duration) {
	i.crash(ctx, i.reserveRandom(deployment.RoleNode), duration/2)
}

func (i *injector) crashServer(ctx context.Context, duration time.Duration) {
	i.crash(ctx, i.reserveRandom(deployment.RoleBackendServer), duration/2)
}

func (i *injector) crashControl(ctx context.Context, duration time.Duration) {
	i.crash(ctx, i.reserveRandom(deployment.RoleControl), duration)
}

// stopPair stops a backend server and then the node of the same instance, as the platform does when it replaces an
// instance.
func (i *injector) stopPair(ctx context.Context, duration time.Duration) {
	server := i.reserveRandom(deployment.RoleBackendServer)
	defer i.reservations.release(server)
	node := server
	for _, process := range harness.ByRole(i.d, deployment.RoleNode) {
		if process.Instance == server.Instance {
			node = process
		}
	}
	i.logFault("stop", server)
	i.reportError(i.d.Terminate(server))
	i.reportError(i.d.Terminate(node))
	sleep(ctx, duration/2)
	_, err := i.d.Restart(node)
	i.reportError(err)
	_, err = i.d.Restart(server)
	i.reportError(err)
}

func (i *injector) pause(ctx context.Context, duration time.Duration) {
	roles := []deployment.Role{deployment.RoleNode, deployment.RoleControl, deployment.RoleBackendServer}
	process := i.reserveRandom(roles[i.random.IntN(len(roles))])
	defer i.reservations.release(process)
	i.logFault("freeze", process)
	i.reportError(i.d.Pause(process))
	sleep(ctx, duration)
	i.reportError(i.d.Resume(process))
}

func (i *injector) partitionDomain(ctx context.Context, duration time.Duration) {
	i.reservations.networkMu.Lock()
	defer i.reservations.networkMu.Unlock()
	nodes := harness.ByRole(i.d, deployment.RoleNode)
	process := nodes[i.random.IntN(len(nodes))]
	i.logFault("partition the failure domain of", process)
	i.reportError(i.d.PartitionDomains(ctx, process.FailureDomain))
	sleep(ctx, duration)
	i.reportError(i.d.PartitionDomains(ctx))
}

// blockSending drops everything that one control instance sends; the instance still receives.
func (i *injector) blockSending(ctx context.Context, duration time.Duration) {
	i.reservations.networkMu.Lock()
	defer i.reservations.networkMu.Unlock()
	controls := harness.ByRole(i.d, deployment.RoleControl)
	process := controls[i.random.IntN(len(controls))]
	i.logFault("block sending of", process)
	i.reportError(i.d.BlockTraffic(ctx, process, i.d.Processes()...))
	sleep(ctx, duration)
	i.reportError(i.d.BlockTraffic(ctx, process))
}
