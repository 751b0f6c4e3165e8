package control

import (
	"samphireflow/internal/waltest"
)

// faultInjector injects one seeded random fault after another.
type faultInjector struct {
	*group
	// counts holds the number of injected faults by kind.
	counts map[string]int
}

// next ends the last fault and injects another one.
func (f *faultInjector) next() {
	f.heal()
	victim := f.instances[f.random.IntN(len(f.instances))]
	other := f.instances[f.random.IntN(len(f.instances))]
	kinds := []string{"power loss", "freeze", "isolate", "one-way in", "one-way out", "noise", "restart", "herd", "disk loss", "failed sync", "full disk", "full disk in passing"}
	kind := kinds[f.random.IntN(len(kinds))]
	f.counts[kind]++
	switch kind {
	case "power loss":
		f.stop(victim, true)
	case "freeze":
		f.freezeDisk(victim)
	case "isolate":
		f.isolate(victim, true, true)
	case "one-way in":
		f.isolate(victim, true, false)
	case "one-way out":
		f.isolate(victim, false, true)
	case "noise":
		// Messages are lost or delayed.
		f.network.setLossAndDelay(0.2, 0.5)
	case "restart":
		f.stop(victim, true)
		f.start(victim)
	case "herd":
		// All instances crash at once.
		for _, i := range f.instances {
			f.stop(i, true)
		}
	case "failed sync", "full disk":
		f.breakDisk(victim, kind == "full disk")
	case "full disk in passing":
		f.fillDisk(victim)
	case "disk loss":
		// A second instance loses its disk as soon as the first one is a voter again.
		f.loseDisk(victim)
		f.awaitVoters()
		if other != victim {
			f.loseDisk(other)
		}
	}
}

// isolate blocks the messages that an instance receives, those that it sends, or both.
func (f *faultInjector) isolate(victim *instance, in, out bool) {
	for _, other := range f.instances {
		if in {
			f.network.block(other.name, victim.name)
		}
		if out {
			f.network.block(victim.name, other.name)
		}
	}
}

// loseDisk restarts an instance with an empty disk.
func (f *faultInjector) loseDisk(victim *instance) {
	f.awaitVoters()
	f.stop(victim, true)
	victim.disk = waltest.NewDisk()
	f.start(victim)
}
