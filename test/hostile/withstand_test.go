package hostile_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// assault is a crowd of one kind at one place.
type assault struct {
	place place
	kind  kind
}

// guard watches the processes of a deployment while crowds are there.
type guard struct {
	d        *deployment
	samplers map[int]*machineSampler
}

func (d *deployment) watch() *guard {
	g := &guard{d: d, samplers: map[int]*machineSampler{}}
	for i, p := range d.processes {
		g.samplers[i] = startMachineSampler(p.command.Process.Pid, ipOf(i))
	}
	return g
}

// check ends the watch and checks what must hold of each process: its machine has memory and descriptors enough.
func (g *guard) check() {
	t := g.d.t
	for i, sampler := range g.samplers {
		peak := sampler.endMachine()
		t.Logf("instance %d: %s", i, peak)
		assert.Less(t, peak.total(), memoryMB*megabyte, "memory of instance %d in bytes, resident and in the kernel", i)
		assert.Less(t, peak.descriptors, g.d.maxFds-reservedFds, "descriptors of instance %d", i)
	}
}

// endServed checks that ordinary requests are answered while crowds stay, then lets the crowds leave and ends the watch.
func (g *guard) endServed(crowds []*crowd, assaults []assault) {
	answered := g.d.serves(assaults)
	dismissAll(crowds)
	g.d.requireAlive()
	g.check()
	assert.True(g.d.t, answered, "ordinary requests are answered")
}

func (d *deployment) requireAlive() {
	for i, p := range d.processes {
		require.True(d.t, p.alive(), "the process of instance %d has ended", i)
	}
}

// startCrowds starts crowds at the same time and returns once each has sent what it can.
func startCrowds(assaults []assault) []*crowd {
	crowds := make([]*crowd, len(assaults))
	var starting sync.WaitGroup
	for i, a := range assaults {
		starting.Go(func() { crowds[i] = startCrowd(a.kind.size, a.place.target, a.kind.misbehave) })
	}
	starting.Wait()
	return crowds
}

func dismissAll(crowds []*crowd) {
	for _, c := range crowds {
		c.dismiss()
	}
}

// serves reports whether an ordinary request is answered at each place, and calls at both nodes, one of which pass the gate.
func (d *deployment) serves(assaults []assault) bool {
	for _, a := range assaults {
		if !d.waitFor(func() bool { return a.place.ordinary(d) }) {
			return false
		}
	}
	return d.waitFor(func() bool { return ordinaryCall(attackedNode) }) && d.waitFor(func() bool { return ordinaryCall(otherNode) })
}

// withstand sends crowds to a deployment at the same time, in a number of waves: as soon as one has sent what it can, it leaves
// and the next one opens its connections. While the last wave stays, all processes must live, keep within the memory and the
// descriptors of their instances and answer ordinary requests, and a change of the configuration must come into force.
func (d *deployment) withstand(waves int, assaults ...assault) {
	g := d.watch()
	crowds := startCrowds(assaults)
	for range waves - 1 {
		dismissAll(crowds)
		crowds = startCrowds(assaults)
	}
	answered := d.serves(assaults)
	changed := answered && d.change("late")
	dismissAll(crowds)
	d.requireAlive()
	g.check()
	assert.True(d.t, answered, "ordinary requests are answered")
	assert.True(d.t, changed, "a change of the configuration comes into force")
}

// change adds a route to the configuration and reports whether both nodes serve it.
func (d *deployment) change(name string) bool {
	row := fmt.Sprintf(`,["%s","rota.example","/%s/","unsafe",60,30,0,"rota",2]]},"Services"`, name, name)
	document := strings.Replace(strings.Replace(configDocument, `]]},"Services"`, `]`+row, 1), "00000004", "00000005", 1)
	return d.waitFor(func() bool {
		return call("PUT", addrOf(controlInstance, controlPort), "/-/config", document, "If-Match", "00000004", "Content-Type", "application/json") == 200
	}) && d.waitFor(func() bool { return callAt(attackedNode, name) }) && d.waitFor(func() bool { return callAt(otherNode, name) })
}

// callAt reports whether a node answers a call on a route.
func callAt(node int, route string) bool {
	return call("POST", addrOf(node, outboundPort), "/"+route+"/1", "crew", "Host", "rota.example", "X-Attempt-Id", "1", "X-Deadline-Ms", "4000") == 200
}

func skipUnlessProving(t *testing.T, short bool) {
	if !short && os.Getenv("SAMPHIREFLOW_PROVE") == "" {
		t.Skip("set SAMPHIREFLOW_PROVE=1 to run all crowds")
	}
}

func placeNamed(name string) place {
	for _, p := range append(places(), otherRoute()) {
		if p.name == name {
			return p
		}
	}
	panic("no place is named " + name)
}

// otherRoute is the route at the node that forwards to the attacked one.
func otherRoute() place {
	return place{"route at another node", otherNode, target{addrOf(otherNode, outboundPort), "POST", "/book/1", ""},
		func(*deployment) bool { return ordinaryCall(otherNode) }}
}
