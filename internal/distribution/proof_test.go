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

// convergenceBound is the time in which an accepted version is in force everywhere.
const convergenceBound = 11 * time.Second

// TestAcceptedIsInForceEverywhere edits while nodes are killed and started.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 7)
		w.settle()
		for i := range 10 {
			h := w.hosts[i]
			h.kill()
			version := w.edit()
			h.start()
			w.within(convergenceBound, version)
		}
		w.requireSafe()
	})
}

// TestRestartInCutDomainIsNoStepBack lets one relay hold a version that no quorum holds, cuts the failure domain
// off, and restarts nodes in it: none may act on less than before, and all must serve again.
func TestRestartInCutDomainIsNoStepBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 7)
		w.settle()
		relays := w.relays("north")
		ahead, others := relays[0], relays[1:]
		require.Len(t, others, 4)
		for _, other := range others {
			w.cutGroups([]string{other.addr}, append([]string{ahead.addr}, controlAddrs...))
		}
		released := w.accepted()
		w.within(convergenceBound, released)
		w.edit()
		time.Sleep(20 * time.Second)
		w.requireAt("north", released, "acts on a version that one relay alone holds")
		w.healNetwork()
		w.within(convergenceBound, w.edit())
		w.cutGroups(w.addrsOf("north"), append(w.addrsOf("south"), controlAddrs...))
		before := w.hosts[0].version()
		for _, h := range w.hosts {
			if h.domain == "north" && !isOneOf(h, relays) {
				h.kill()
				h.start()
			}
		}
		relays[0].kill()
		relays[0].start()
		time.Sleep(10 * time.Second)
		w.requireAt("north", before, "does not serve again what it had")
		w.healNetwork()
		w.within(convergenceBound, w.edit())
		w.requireSafe()
	})
}

func isOneOf(h *host, list []*host) bool {
	for _, other := range list {
		if other == h {
			return true
		}
	}
	return false
}

// TestRestartWithoutAQuorumOfMemoryWaits restarts all relays of a cut failure domain: what a restarted node may
// have applied is then not known, and it serves nothing until the control group can be read.
func TestRestartWithoutAQuorumOfMemoryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 7)
		w.settle()
		w.cutGroups(w.addrsOf("north"), append(w.addrsOf("south"), controlAddrs...))
		var running []*host
		for _, h := range w.hosts {
			if h.domain == "north" && !isOneOf(h, w.relays("north")) {
				running = append(running, h)
			}
		}
		before := running[0].version()
		for _, relay := range w.relays("north") {
			relay.kill()
			relay.start()
		}
		running[0].kill()
		running[0].start()
		time.Sleep(30 * time.Second)
		require.False(t, running[0].node.Ready(), "a node serves although nobody knows what it may have applied")
		require.Equal(t, before, running[1].version(), "a node that was not restarted goes on")
		w.healNetwork()
		w.within(convergenceBound, w.edit())
		w.requireSafe()
	})
}

// TestIsolatedOldLeaderPushesNothing isolates the leader for long, with all nodes reaching it only.
func TestIsolatedOldLeaderPushesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 7)
		w.settle()
		w.group.isolate(0)
		w.within(convergenceBound, w.edit())
		w.cutGroups(append(w.addrsOf("north"), w.addrsOf("south")...), controlAddrs[1:])
		w.hosts[0].kill()
		w.hosts[0].start()
		time.Sleep(30 * time.Second)
		w.requireSafe()
		w.healNetwork()
		w.group.heal()
		w.within(convergenceBound, w.edit())
		w.requireSafe()
	})
}

// TestSeededFaults draws faults and edits at random, and requires safety always and convergence at the end.
func TestSeededFaults(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 34} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeededFaults(t, seed) })
		})
	}
}

// faultSteps is the number of faults and edits of one run.
const faultSteps = 60

func runSeededFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.settle()
	random := rand.New(rand.NewPCG(seed, 2))
	for range faultSteps {
		w.fault(random)
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		w.requireSafe()
	}
	w.healNetwork()
	w.group.heal()
	w.network.change(func() {
		for _, p := range w.network.processes {
			p.frozen = false
		}
	})
	time.Sleep(20 * time.Second)
	w.within(convergenceBound, w.edit())
	w.requireSafe()
}

// fault does one thing at random.
func (w *world) fault(random *rand.Rand) {
	h := w.hosts[random.IntN(len(w.hosts))]
	domain := worldDomains[random.IntN(len(worldDomains))]
	switch random.IntN(10) {
	case 0, 1:
		h.kill()
		h.start()
	case 2:
		for _, relay := range w.relays(domain) {
			if random.IntN(2) == 0 {
				relay.kill()
				relay.start()
			}
		}
	case 3:
		w.network.change(func() { h.process.frozen = !h.process.frozen })
	case 4:
		w.cutGroups(w.addrsOf(domain), controlAddrs)
	case 5:
		w.cutGroups([]string{h.addr}, w.addrsOf(h.domain)[:3])
	case 6:
		w.cutGroups([]string{h.addr}, controlAddrs)
	case 7:
		w.group.heal()
		w.group.isolate(random.IntN(len(controlAddrs)))
	case 8:
		w.healNetwork()
	case 9:
		w.edit()
		w.edit()
	}
	w.edit()
}

// TestBadVersionIsRefusedWhole injects a version with a dangling reference at each stage: it is applied nowhere,
// the refusal reaches the control group with its reason, and the next version is taken.
func TestBadVersionIsRefusedWhole(t *testing.T) {
	stages := map[string]func(w *world, from, to string) bool{
		"control to relay": func(w *world, from, _ string) bool { return isOneOfAddrs(from, controlAddrs) },
		"relay to node":    func(w *world, from, _ string) bool { return !isOneOfAddrs(from, controlAddrs) },
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5, 7)
				w.settle()
				good := w.hosts[0].version()
				w.network.change(func() {
					w.network.tamper = func(from, to, path string, body []byte) []byte {
						if path != "/twirp/samphireflow.v1.Distribution/Watch" || !stage(w, from, to) {
							return body
						}
						return dangle(body)
					}
				})
				bad := w.edit()
				time.Sleep(10 * time.Second)
				refused := false
				for _, info := range w.controls[0].Nodes() {
					require.GreaterOrEqual(t, info.AppliedVersion, good)
					if info.RefusedVersion == bad {
						refused = true
						require.Contains(t, info.Refusal, "missing service")
					}
				}
				require.True(t, refused, "the control group is told of the refusal")
				w.network.change(func() { w.network.tamper = nil })
				w.within(convergenceBound, w.edit())
				w.requireSafe()
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

// dangle replaces a watch's configuration by a whole snapshot whose digest is right and whose routes point at a
// service that it lacks.
func dangle(body []byte) []byte {
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
