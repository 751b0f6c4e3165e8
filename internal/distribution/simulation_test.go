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
	controlAddrs   = []string{"c1:1", "c2:1", "c3:1"}
	failureDomains = []string{"north", "south"}
)

// simulation runs control instances and nodes on a fake network. It runs in a testing/synctest bubble, so that its clock is
// fake too.
type simulation struct {
	t        testing.TB
	network  *fakeNetwork
	group    *fakeControlGroup
	controls []*control.Server
	nodes    []*simulatedNode
	running  sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
	// base is the version of the last edit, on which the next edit is based.
	base  uint64
	edits int

	mu sync.Mutex
	// applied contains every snapshot that each instance has applied, over all its starts.
	applied map[string][]*apiv1.Snapshot
}

// simulatedNode is a node instance with its current process.
type simulatedNode struct {
	simulation *simulation
	instance   string
	domain     string
	addr       string
	node       *node.Node
	process    *process
	cancel     context.CancelFunc
	ended      chan struct{}
}

// newSimulation starts a simulation with a number of nodes in each failure domain.
func newSimulation(t testing.TB, seed uint64, nodesPerDomain int) *simulation {
	ctx, cancel := context.WithCancel(context.Background())
	s := &simulation{
		t: t, ctx: ctx, stop: cancel,
		network: newFakeNetwork(seed), group: newFakeControlGroup(controlAddrs), applied: map[string][]*apiv1.Snapshot{},
	}
	s.group.ended = ctx.Done()
	t.Cleanup(s.close)
	for i, addr := range controlAddrs {
		s.startControl(i, addr)
	}
	s.writeInitialConfig()
	for _, domain := range failureDomains {
		for i := range nodesPerDomain {
			n := &simulatedNode{simulation: s, instance: fmt.Sprintf("%s-%d", domain, i), domain: domain, addr: fmt.Sprintf("%s-%d:1", domain, i)}
			s.nodes = append(s.nodes, n)
			n.start()
		}
	}
	return s
}

func (s *simulation) startControl(i int, addr string) {
	p := &process{}
	member := s.group.members[i]
	server := control.New(control.Options{
		Instance: member.id, Log: member, Machine: member.machine, Client: s.network.client(addr, p), Logger: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	server.Register(mux)
	p.handler = mux
	s.network.change(func() { s.network.processes[addr] = p })
	s.controls = append(s.controls, server)
	s.running.Go(func() { _ = server.Run(s.ctx) })
}

// close ends the simulation and waits for all its goroutines.
func (s *simulation) close() {
	s.network.change(func() {
		s.network.blocked = map[[2]string]bool{}
		for _, p := range s.network.processes {
			p.paused = false
			p.crashed = true
		}
	})
	s.stop()
	for _, n := range s.nodes {
		n.crash()
	}
	s.running.Wait()
}

// writeInitialConfig submits the first configuration.
func (s *simulation) writeInitialConfig() {
	s.submit(
		&apiv1.BranchEdit{Path: "/resources/budget", Changes: settings("resource.calls-per-second", "5")},
		&apiv1.BranchEdit{Path: "/services/desk", Changes: settings("service.version", "v1")},
		&apiv1.BranchEdit{Path: "/services/desk/routes/book", Changes: settings("route.method", "POST", "route.path", "/desk", "limit.rate", "budget")},
		&apiv1.BranchEdit{Path: "/services/rota", Changes: settings("service.version", "v1", "call.timeout", "1s")},
	)
}

// settings returns a change for each pair of key and value.
func settings(pairs ...string) []*apiv1.Change {
	var changes []*apiv1.Change
	for i := 0; i+1 < len(pairs); i += 2 {
		changes = append(changes, &apiv1.Change{Key: pairs[i], Value: pairs[i+1]})
	}
	return changes
}

func (s *simulation) submit(branches ...*apiv1.BranchEdit) uint64 {
	s.edits++
	edit := &apiv1.EditRequest{EditId: fmt.Sprintf("e%d", s.edits), Branches: branches}
	result := s.group.submit(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: edit}})
	require.Equal(s.t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, result.Edit.Outcome, result.Edit)
	s.base = result.Edit.Version
	return result.Edit.Version
}

// edit changes a setting and returns the accepted version.
func (s *simulation) edit() uint64 {
	return s.submit(&apiv1.BranchEdit{Path: "/services/rota", BaseVersion: s.base, Changes: settings("call.timeout", fmt.Sprintf("%dms", 1000+s.edits))})
}

// start starts a new process of the instance, without state from the previous one.
func (n *simulatedNode) start() {
	s := n.simulation
	n.process = &process{}
	ctx, cancel := context.WithCancel(s.ctx)
	n.cancel = cancel
	n.node = node.New(node.Options{
		Instance: n.instance, FailureDomain: n.domain, ControlAddr: n.addr,
		Control: controlAddrs,
		Seeds:   []string{n.domain + "-0:1", n.domain + "-1:1", n.domain + "-2:1"},
		Client:  s.network.client(n.addr, n.process),
		OnApply: func(snap *apiv1.Snapshot) { s.recordApplied(n.instance, snap) },
		Logger:  zerolog.Nop(),
	})
	mux := http.NewServeMux()
	n.node.Register(mux)
	inspect := apiv1.NewInspectServer(n.node)
	mux.Handle(inspect.PathPrefix(), inspect)
	n.process.handler = mux
	s.network.change(func() { s.network.processes[n.addr] = n.process })
	running, ended := n.node, make(chan struct{})
	n.ended = ended
	go func() {
		defer close(ended)
		_ = running.Run(ctx)
	}()
}

// crash ends the process at once. Messages that it sends afterwards do not arrive.
func (n *simulatedNode) crash() {
	n.simulation.network.change(func() { n.process.crashed, n.process.paused = true, false })
	n.cancel()
	<-n.ended
}

func (s *simulation) recordApplied(instance string, snap *apiv1.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[instance] = append(s.applied[instance], snap)
}

// version returns the version that the node acts on.
func (n *simulatedNode) version() uint64 {
	return n.node.Status().Snapshot.GetVersion()
}

// requireConverged fails unless all nodes act on a version, or a newer one, within a time.
func (s *simulation) requireConverged(d time.Duration, version uint64) {
	s.t.Helper()
	started := time.Now()
	for {
		behind := s.behind(version)
		if len(behind) == 0 {
			return
		}
		require.Less(s.t, time.Since(started), d, "behind version %d: %v", version, behind)
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *simulation) behind(version uint64) []string {
	var list []string
	for _, n := range s.nodes {
		if n.version() < version {
			list = append(list, fmt.Sprintf("%s at %d", n.instance, n.version()))
		}
	}
	return list
}

// accepted returns the newest accepted version.
func (s *simulation) accepted() uint64 {
	version := uint64(0)
	for _, member := range s.group.members {
		version = max(version, member.machine.View().Version)
	}
	return version
}

// awaitRelays waits until relays are assigned in all failure domains and every node has the newest version.
func (s *simulation) awaitRelays() {
	s.t.Helper()
	time.Sleep(20 * time.Second)
	s.requireConverged(convergenceBound, s.edit())
	for _, domain := range failureDomains {
		require.NotEmpty(s.t, s.relays(domain), "relays are assigned")
	}
}

// relays returns the nodes that are relays of a failure domain.
func (s *simulation) relays(domain string) []*simulatedNode {
	var list []*simulatedNode
	for _, member := range s.group.members {
		if member.isolated {
			continue
		}
		assignment := member.machine.View().Assignment(domain, apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY)
		for _, n := range s.nodes {
			for _, assigned := range assignment.GetNodes() {
				if assigned.Instance == n.instance {
					list = append(list, n)
				}
			}
		}
		return list
	}
	return nil
}

// requireInvariants checks all applied snapshots. On each instance, version and term never decrease, also across restarts;
// no reference dangles; and a version has the same content on all nodes of a failure domain.
func (s *simulation) requireInvariants() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := map[string]uint64{}
	for instance, snapshots := range s.applied {
		var last *apiv1.Snapshot
		for _, snap := range snapshots {
			require.NoError(s.t, snapshot.Check(snap), instance)
			require.GreaterOrEqual(s.t, snap.Version, last.GetVersion(), "%s went back", instance)
			require.GreaterOrEqual(s.t, snap.Term, last.GetTerm(), "%s went back", instance)
			content := fmt.Sprintf("%s/%d", snap.FailureDomain, snap.Version)
			if known, ok := digests[content]; ok {
				require.Equal(s.t, known, snap.Digest, "%s applied different content of version %d", instance, snap.Version)
			}
			digests[content] = snap.Digest
			last = snap
		}
	}
}

// requireVersion requires that every node of a failure domain acts on exactly a version. The failure text completes the
// message that begins with the instance.
func (s *simulation) requireVersion(domain string, version uint64, failure string) {
	s.t.Helper()
	for _, n := range s.nodes {
		if n.domain == domain {
			require.Equal(s.t, version, n.version(), "%s %s", n.instance, failure)
		}
	}
}

// partition blocks messages between every process of one list and every process of another, in both directions.
func (s *simulation) partition(a, b []string) {
	s.network.change(func() {
		for _, x := range a {
			for _, y := range b {
				s.network.blocked[[2]string{x, y}] = true
				s.network.blocked[[2]string{y, x}] = true
			}
		}
	})
}

func (s *simulation) healNetwork() {
	s.network.change(func() { s.network.blocked = map[[2]string]bool{} })
}

// addrsOf returns the addresses of the nodes of a failure domain.
func (s *simulation) addrsOf(domain string) []string {
	var list []string
	for _, n := range s.nodes {
		if n.domain == domain {
			list = append(list, n.addr)
		}
	}
	return list
}
