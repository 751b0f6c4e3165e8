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
	// maxFaultTime is the longest time that a fault lasts.
	maxFaultTime = 5 * time.Second
)

// reserved keeps injectors that work at the same time from making two faults of one process, or two cuts.
type reserved struct {
	mu        sync.Mutex
	instances map[string]bool
	cuts      sync.Mutex
}

// take reserves the instance of a process until it is given back. It reports whether it was free.
func (r *reserved) take(process deployment.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instances[process.Instance] {
		return false
	}
	r.instances[process.Instance] = true
	return true
}

func (r *reserved) giveBack(process deployment.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.instances, process.Instance)
}

// injector makes one fault after the other, chosen by a seed.
type injector struct {
	t        *testing.T
	d        *deployment.Deployment
	random   *rand.Rand
	reserved *reserved
	count    int
}

// run makes faults until the time is over, and leaves nothing stopped, frozen or cut.
func (i *injector) run(ctx context.Context, until time.Time) {
	faults := []func(context.Context, time.Duration){i.crashNode, i.crashServer, i.crashControl, i.stopPair, i.freeze, i.cutDomain, i.cutOneWay}
	for time.Now().Before(until) && ctx.Err() == nil {
		lasting := time.Duration(i.random.Int64N(int64(maxFaultTime)))
		faults[i.random.IntN(len(faults))](ctx, lasting)
		sleep(ctx, time.Duration(i.random.Int64N(int64(2*faultPause))))
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// pick reserves a process that no other injector is at work on.
func (i *injector) pick(role deployment.Role) deployment.Process {
	list := harness.ByRole(i.d, role)
	for {
		process := list[i.random.IntN(len(list))]
		if i.reserved.take(process) {
			return process
		}
	}
}

func (i *injector) note(what string, process deployment.Process) {
	i.count++
	i.t.Logf("%s: %s %s %s", time.Now().Format("15:04:05.000"), what, process.Role, process.Instance)
}

func (i *injector) check(err error) {
	if err != nil {
		i.t.Errorf("fault not made: %v", err)
	}
}

func (i *injector) crash(ctx context.Context, process deployment.Process, lasting time.Duration) {
	defer i.reserved.giveBack(process)
	i.note("crash", process)
	i.check(i.d.Kill(process))
	sleep(ctx, lasting)
	_, err := i.d.Restart(process)
	i.check(err)
}

func (i *injector) crashNode(ctx context.Context, lasting time.Duration) {
	i.crash(ctx, i.pick(deployment.RoleNode), lasting/2)
}

func (i *injector) crashServer(ctx context.Context, lasting time.Duration) {
	i.crash(ctx, i.pick(deployment.RoleBackendServer), lasting/2)
}

func (i *injector) crashControl(ctx context.Context, lasting time.Duration) {
	i.crash(ctx, i.pick(deployment.RoleControl), lasting)
}

// stopPair stops a backend server and the node beside it as the platform does at a replacement.
func (i *injector) stopPair(ctx context.Context, lasting time.Duration) {
	server := i.pick(deployment.RoleBackendServer)
	defer i.reserved.giveBack(server)
	node := server
	for _, process := range harness.ByRole(i.d, deployment.RoleNode) {
		if process.Instance == server.Instance {
			node = process
		}
	}
	i.note("stop", server)
	i.check(i.d.Terminate(server))
	i.check(i.d.Terminate(node))
	sleep(ctx, lasting/2)
	_, err := i.d.Restart(node)
	i.check(err)
	_, err = i.d.Restart(server)
	i.check(err)
}

func (i *injector) freeze(ctx context.Context, lasting time.Duration) {
	roles := []deployment.Role{deployment.RoleNode, deployment.RoleControl, deployment.RoleBackendServer}
	process := i.pick(roles[i.random.IntN(len(roles))])
	defer i.reserved.giveBack(process)
	i.note("freeze", process)
	i.check(i.d.Pause(process))
	sleep(ctx, lasting)
	i.check(i.d.Resume(process))
}

func (i *injector) cutDomain(ctx context.Context, lasting time.Duration) {
	i.reserved.cuts.Lock()
	defer i.reserved.cuts.Unlock()
	nodes := harness.ByRole(i.d, deployment.RoleNode)
	process := nodes[i.random.IntN(len(nodes))]
	i.note("cut the domain of", process)
	i.check(i.d.PartitionDomains(ctx, process.FailureDomain))
	sleep(ctx, lasting)
	i.check(i.d.PartitionDomains(ctx))
}

// cutOneWay lets one control instance receive but not send.
func (i *injector) cutOneWay(ctx context.Context, lasting time.Duration) {
	i.reserved.cuts.Lock()
	defer i.reserved.cuts.Unlock()
	controls := harness.ByRole(i.d, deployment.RoleControl)
	process := controls[i.random.IntN(len(controls))]
	i.note("cut what leaves", process)
	i.check(i.d.BlockTraffic(ctx, process, i.d.Processes()...))
	sleep(ctx, lasting)
	i.check(i.d.BlockTraffic(ctx, process))
}
