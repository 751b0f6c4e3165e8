package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/packed"
	"samphireflow/internal/snapshot"
)

// convergenceBound is the time within which every node must act on an accepted version.
const convergenceBound = 11 * time.Second

// TestAcceptedVersionReachesAllNodes makes an edit while a node is down and requires that all nodes, the restarted one
// included, act on the new version in time.
func TestAcceptedVersionReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 7)
		s.awaitRelays()
		for i := range 10 {
			n := s.nodes[i]
			n.crash()
			version := s.edit()
			n.start()
			s.requireConverged(convergenceBound, version)
		}
		s.requireInvariants()
	})
}

// TestRestartInPartitionedDomainDoesNotRegress makes one relay hold a version that no quorum holds, and requires that no
// node acts on it. It then partitions the failure domain from the control group and restarts nodes in it: the nodes must
// serve again, with the version that they had before.
func TestRestartInPartitionedDomainDoesNotRegress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 7)
		s.awaitRelays()
		relays := s.relays("north")
		ahead, others := relays[0], relays[1:]
		require.Len(t, others, 4)
		for _, other := range others {
			s.partition([]string{other.addr}, append([]string{ahead.addr}, controlAddrs...))
		}
		released := s.accepted()
		s.requireConverged(convergenceBound, released)
		s.edit()
		time.Sleep(20 * time.Second)
		s.requireVersion("north", released, "acts on a version that only one relay holds")
		s.healNetwork()
		s.requireConverged(convergenceBound, s.edit())
		s.partition(s.addrsOf("north"), append(s.addrsOf("south"), controlAddrs...))
		before := s.nodes[0].version()
		for _, n := range s.nodes {
			if n.domain == "north" && !isOneOf(n, relays) {
				n.crash()
				n.start()
			}
		}
		relays[0].crash()
		relays[0].start()
		time.Sleep(10 * time.Second)
		s.requireVersion("north", before, "does not act on the version from before the restart")
		s.healNetwork()
		s.requireConverged(convergenceBound, s.edit())
		s.requireInvariants()
	})
}

func isOneOf(n *simulatedNode, list []*simulatedNode) bool {
	for _, other := range list {
		if other == n {
			return true
		}
	}
	return false
}

// TestRestartedNodeWaitsWhenAllRelaysRestarted restarts all relays of a partitioned failure domain. No process then knows
// which version a restarted node may have applied, so the node must not serve until the control group can be reached.
func TestRestartedNodeWaitsWhenAllRelaysRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 7)
		s.awaitRelays()
		s.partition(s.addrsOf("north"), append(s.addrsOf("south"), controlAddrs...))
		var running []*simulatedNode
		for _, n := range s.nodes {
			if n.domain == "north" && !isOneOf(n, s.relays("north")) {
				running = append(running, n)
			}
		}
		before := running[0].version()
		for _, relay := range s.relays("north") {
			relay.crash()
			relay.start()
		}
		running[0].crash()
		running[0].start()
		time.Sleep(30 * time.Second)
		require.False(t, running[0].node.Ready(), "a node serves although no process knows which version it may have applied")
		require.Equal(t, before, running[1].version(), "a node that was not restarted keeps its version")
		s.healNetwork()
		s.requireConverged(convergenceBound, s.edit())
		s.requireInvariants()
	})
}

// TestIsolatedOldLeaderDistributesNothing isolates the leader for 30 s, while the nodes reach no other control instance. It
// guards against nodes that go back to older state because an old leader still believes that it leads.
func TestIsolatedOldLeaderDistributesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 4, 7)
		s.awaitRelays()
		s.group.isolate(0)
		s.requireConverged(convergenceBound, s.edit())
		s.partition(append(s.addrsOf("north"), s.addrsOf("south")...), controlAddrs[1:])
		s.nodes[0].crash()
		s.nodes[0].start()
		time.Sleep(30 * time.Second)
		s.requireInvariants()
		s.healNetwork()
		s.group.heal()
		s.requireConverged(convergenceBound, s.edit())
		s.requireInvariants()
	})
}

// TestRandomFaults makes random faults and edits. The invariants must hold after every step, and all nodes must converge
// once the faults have ended.
func TestRandomFaults(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 34} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

// faultSteps is the number of faults and edits of one run.
const faultSteps = 60

func runRandomFaults(t *testing.T, seed uint64) {
	s := newSimulation(t, seed, 6)
	s.awaitRelays()
	random := rand.New(rand.NewPCG(seed, 2))
	for range faultSteps {
		s.injectFault(random)
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		s.requireInvariants()
	}
	s.healNetwork()
	s.group.heal()
	s.network.change(func() {
		for _, p := range s.network.processes {
			p.paused = false
		}
	})
	time.Sleep(20 * time.Second)
	s.requireConverged(convergenceBound, s.edit())
	s.requireInvariants()
}

// injectFault injects one random fault, or heals earlier ones, and then makes an edit.
func (s *simulation) injectFault(random *rand.Rand) {
	n := s.nodes[random.IntN(len(s.nodes))]
	domain := failureDomains[random.IntN(len(failureDomains))]
	switch random.IntN(10) {
	case 0, 1:
		n.crash()
		n.start()
	case 2:
		for _, relay := range s.relays(domain) {
			if random.IntN(2) == 0 {
				relay.crash()
				relay.start()
			}
		}
	case 3:
		s.network.change(func() { n.process.paused = !n.process.paused })
	case 4:
		s.partition(s.addrsOf(domain), controlAddrs)
	case 5:
		s.partition([]string{n.addr}, s.addrsOf(n.domain)[:3])
	case 6:
		s.partition([]string{n.addr}, controlAddrs)
	case 7:
		s.group.heal()
		s.group.isolate(random.IntN(len(controlAddrs)))
	case 8:
		s.healNetwork()
	case 9:
		s.edit()
		s.edit()
	}
	s.edit()
}

// TestInvalidVersionIsRefused corrupts the versions in watch responses, so that a route refers to a missing service: once on
// the way from the control group to the relays, and once from the relays to the nodes. No node may apply such a version, the
// refusal with its reason must reach the control group, and the next valid version must be applied.
func TestInvalidVersionIsRefused(t *testing.T) {
	stages := map[string]func(s *simulation, from, to string) bool{
		"control to relay": func(s *simulation, from, _ string) bool { return isOneOfAddrs(from, controlAddrs) },
		"relay to node":    func(s *simulation, from, _ string) bool { return !isOneOfAddrs(from, controlAddrs) },
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 5, 7)
				s.awaitRelays()
				good := s.nodes[0].version()
				s.network.change(func() {
					s.network.rewriteResponse = func(from, to, path string, body []byte) []byte {
						if path != "/twirp/samphireflow.v1.Distribution/Watch" || !stage(s, from, to) {
							return body
						}
						return withDanglingRoute(body)
					}
				})
				bad := s.edit()
				time.Sleep(10 * time.Second)
				refused := false
				for _, info := range s.controls[0].Nodes() {
					require.GreaterOrEqual(t, info.AppliedVersion, good)
					if info.RefusedVersion == bad {
						refused = true
						require.Contains(t, info.Refusal, "missing service")
					}
				}
				require.True(t, refused, "the control group knows about the refusal")
				s.network.change(func() { s.network.rewriteResponse = nil })
				s.requireConverged(convergenceBound, s.edit())
				s.requireInvariants()
			})
		})
	}
}

func isOneOfAddrs(addr string, list []string) bool {
	for _, other := range list {
		if other == addr {
			return true
		}
	}
	return false
}

// withDanglingRoute replaces the configuration of a watch response with a full snapshot. Its digest is correct, but its
// route refers to a service that the snapshot does not contain.
func withDanglingRoute(body []byte) []byte {
	response := &apiv1.WatchResponse{}
	if proto.Unmarshal(body, response) != nil || len(response.Snapshot)+len(response.Delta) == 0 {
		return body
	}
	snap := &apiv1.Snapshot{
		Version: response.AcceptedVersion, Term: 1, FailureDomain: "north",
		Routes: []*apiv1.RouteConfig{{Name: "desk/book", Service: "desk"}},
	}
	snap.Digest = snapshot.Digest(snap)
	response.Delta = nil
	whole, _ := proto.Marshal(snap)
	response.Snapshot = packed.Pack(whole)
	data, _ := proto.Marshal(response)
	return data
}
