package distribution_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/control"
	"samphireflow/internal/node"
	"samphireflow/internal/snapshot"
)

var (
	controlAddrs = []string{"c1:1", "c2:1", "c3:1"}
	worldDomains = []string{"north", "south"}
)

// world is control instances and nodes on a fake network. It runs in a bubble of testing/synctest, so that its
// clock is faked too.
type world struct {
	t        testing.TB
	network  *network
	group    *group
	controls []*control.Server
	hosts    []*host
	running  sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
	// base is the newest version of the branch that edits change.
	base  uint64
	edits int

	mu sync.Mutex
	// applies holds every snapshot that an instance began to act on, over all its starts.
	applies map[string][]*apiv1.Snapshot
}

// host is an instance and its present process.
type host struct {
	world    *world
	instance string
	domain   string
	addr     string
	node     *node.Node
	process  *process
	cancel   context.CancelFunc
	ended    chan struct{}
}

// newWorld starts a world with some nodes in each failure domain.
func newWorld(t testing.TB, seed uint64, nodesPerDomain int) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, ctx: ctx, stop: cancel,
		network: newNetwork(seed), group: newGroup(controlAddrs), applies: map[string][]*apiv1.Snapshot{},
	}
	w.group.ended = ctx.Done()
	t.Cleanup(w.close)
	for i, addr := range controlAddrs {
		w.startControl(i, addr)
	}
	w.found()
	for _, domain := range worldDomains {
		for i := range nodesPerDomain {
			h := &host{world: w, instance: fmt.Sprintf("%s-%d", domain, i), domain: domain, addr: fmt.Sprintf("%s-%d:1", domain, i)}
			w.hosts = append(w.hosts, h)
			h.start()
		}
	}
	return w
}

func (w *world) startControl(i int, addr string) {
	p := &process{}
	member := w.group.members[i]
	server := control.New(control.Options{
		Instance: member.id, Log: member, Machine: member.machine, Client: w.network.client(addr, p), Logger: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	server.Register(mux)
	p.handler = mux
	w.network.change(func() { w.network.processes[addr] = p })
	w.controls = append(w.controls, server)
	w.running.Go(func() { _ = server.Run(w.ctx) })
}

// close ends the world and waits for all its goroutines.
func (w *world) close() {
	w.network.change(func() {
		w.network.cut = map[[2]string]bool{}
		for _, p := range w.network.processes {
			p.frozen = false
			p.dead = true
		}
	})
	w.stop()
	for _, h := range w.hosts {
		h.kill()
	}
	w.running.Wait()
}

// found makes the first configuration.
func (w *world) found() {
	w.submit(
		&apiv1.BranchEdit{Path: "/resources/budget", Changes: set("resource.calls-per-second", "5")},
		&apiv1.BranchEdit{Path: "/services/desk", Changes: set("service.version", "v1")},
		&apiv1.BranchEdit{Path: "/services/desk/routes/book", Changes: set("route.method", "POST", "route.path", "/desk", "limit.rate", "budget")},
		&apiv1.BranchEdit{Path: "/services/rota", Changes: set("service.version", "v1", "call.timeout", "1s")},
	)
}

// set lists changes from keys and values in turn.
func set(pairs ...string) []*apiv1.Change {
	var changes []*apiv1.Change
	for i := 0; i+1 < len(pairs); i += 2 {
		changes = append(changes, &apiv1.Change{Key: pairs[i], Value: pairs[i+1]})
	}
	return changes
}

func (w *world) submit(branches ...*apiv1.BranchEdit) uint64 {
	w.edits++
	edit := &apiv1.EditRequest{EditId: fmt.Sprintf("e%d", w.edits), Branches: branches}
	result := w.group.submit(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: edit}})
	require.Equal(w.t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, result.Edit.Outcome, result.Edit)
	w.base = result.Edit.Version
	return result.Edit.Version
}

// edit changes a setting and returns the accepted version.
func (w *world) edit() uint64 {
	return w.submit(&apiv1.BranchEdit{Path: "/services/rota", BaseVersion: w.base, Changes: set("call.timeout", fmt.Sprintf("%dms", 1000+w.edits))})
}

// start starts the instance's process, with an empty memory.
func (h *host) start() {
	w := h.world
	h.process = &process{}
	ctx, cancel := context.WithCancel(w.ctx)
	h.cancel = cancel
	h.node = node.New(node.Options{
		Instance: h.instance, FailureDomain: h.domain, ControlAddr: h.addr,
		Control: controlAddrs,
		Seeds:   []string{h.domain + "-0:1", h.domain + "-1:1", h.domain + "-2:1"},
		Client:  w.network.client(h.addr, h.process),
		OnApply: func(snap *apiv1.Snapshot) { w.record(h.instance, snap) },
		Logger:  zerolog.Nop(),
	})
	mux := http.NewServeMux()
	h.node.Register(mux)
	inspect := apiv1.NewInspectServer(h.node)
	mux.Handle(inspect.PathPrefix(), inspect)
	h.process.handler = mux
	w.network.change(func() { w.network.processes[h.addr] = h.process })
	n, ended := h.node, make(chan struct{})
	h.ended = ended
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
}

// kill ends the process at once: nothing that it sends afterwards arrives.
func (h *host) kill() {
	h.world.network.change(func() { h.process.dead, h.process.frozen = true, false })
	h.cancel()
	<-h.ended
}

func (w *world) record(instance string, snap *apiv1.Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applies[instance] = append(w.applies[instance], snap)
}

// version returns what a host acts on.
func (h *host) version() uint64 {
	return h.node.Status().Snapshot.GetVersion()
}

// within fails unless all hosts act on a version within a time.
func (w *world) within(d time.Duration, version uint64) {
	w.t.Helper()
	started := time.Now()
	for {
		behind := w.behind(version)
		if len(behind) == 0 {
			return
		}
		require.Less(w.t, time.Since(started), d, "behind version %d: %v", version, behind)
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *world) behind(version uint64) []string {
	var list []string
	for _, h := range w.hosts {
		if h.version() < version {
			list = append(list, fmt.Sprintf("%s at %d", h.instance, h.version()))
		}
	}
	return list
}

// accepted returns the newest accepted version.
func (w *world) accepted() uint64 {
	version := uint64(0)
	for _, member := range w.group.members {
		version = max(version, member.machine.View().Version)
	}
	return version
}

// settle waits until the relays of all failure domains are assigned and every host follows them.
func (w *world) settle() {
	w.t.Helper()
	time.Sleep(20 * time.Second)
	w.within(convergenceBound, w.edit())
	for _, domain := range worldDomains {
		require.NotEmpty(w.t, w.relays(domain), "relays are assigned")
	}
}

// relays lists the hosts that are relays of a failure domain.
func (w *world) relays(domain string) []*host {
	var list []*host
	for _, member := range w.group.members {
		if member.isolated {
			continue
		}
		assignment := member.machine.View().Assignment(domain, apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY)
		for _, h := range w.hosts {
			for _, assigned := range assignment.GetNodes() {
				if assigned.Instance == h.instance {
					list = append(list, h)
				}
			}
		}
		return list
	}
	return nil
}

// requireSafe checks the record of every apply: on no instance, over all its starts, do version or term decrease; no
// reference dangles; and one version has one content in a failure domain.
func (w *world) requireSafe() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	digests := map[string]uint64{}
	for instance, applies := range w.applies {
		var last *apiv1.Snapshot
		for _, snap := range applies {
			require.NoError(w.t, snapshot.Check(snap), instance)
			require.GreaterOrEqual(w.t, snap.Version, last.GetVersion(), "%s went back", instance)
			require.GreaterOrEqual(w.t, snap.Term, last.GetTerm(), "%s went back", instance)
			content := fmt.Sprintf("%s/%d", snap.FailureDomain, snap.Version)
			if known, ok := digests[content]; ok {
				require.Equal(w.t, known, snap.Digest, "%s applied another content of version %d", instance, snap.Version)
			}
			digests[content] = snap.Digest
			last = snap
		}
	}
}

// cutGroups cuts every process of one list off from every one of another, both ways.
func (w *world) cutGroups(a, b []string) {
	w.network.change(func() {
		for _, x := range a {
			for _, y := range b {
				w.network.cut[[2]string{x, y}] = true
				w.network.cut[[2]string{y, x}] = true
			}
		}
	})
}

func (w *world) healNetwork() {
	w.network.change(func() { w.network.cut = map[[2]string]bool{} })
}

// addrsOf lists the addresses of the hosts of a failure domain.
func (w *world) addrsOf(domain string) []string {
	var list []string
	for _, h := range w.hosts {
		if h.domain == domain {
			list = append(list, h.addr)
		}
	}
	return list
}
