package control

import (
	"samphireflow/internal/waltest"
)

// faults makes one seeded fault after another.
type faults struct {
	*group
	counts map[string]int
}

// next ends the last fault and makes another one.
func (f *faults) next() {
	f.heal()
	victim := f.instances[f.random.IntN(len(f.instances))]
	other := f.instances[f.random.IntN(len(f.instances))]
	kinds := []string{"power loss", "freeze", "isolate", "one-way in", "one-way out", "noise", "restart", "herd", "disk loss", "failed sync", "full disk"}
	kind := kinds[f.random.IntN(len(kinds))]
	f.counts[kind]++
	switch kind {
	case "power loss":
		f.stop(victim, true)
	case "freeze":
		f.freeze(victim)
	case "isolate":
		f.isolate(victim, true, true)
	case "one-way in":
		f.isolate(victim, true, false)
	case "one-way out":
		f.isolate(victim, false, true)
	case "noise":
		f.network.disturb(0.2, 0.5)
	case "restart":
		f.stop(victim, true)
		f.start(victim)
	case "herd":
		for _, i := range f.instances {
			f.stop(i, true)
		}
	case "failed sync", "full disk":
		f.breakDisk(victim, kind == "full disk")
	case "disk loss":
		// The second disk is lost right after the first is repaired.
		f.loseDisk(victim)
		f.awaitVoters()
		if other != victim {
			f.loseDisk(other)
		}
	}
}

func (f *faults) isolate(victim *instance, in, out bool) {
	for _, other := range f.instances {
		if in {
			f.network.cut(other.name, victim.name)
		}
		if out {
			f.network.cut(victim.name, other.name)
		}
	}
}

func (f *faults) loseDisk(victim *instance) {
	f.awaitVoters()
	f.stop(victim, true)
	victim.disk = waltest.NewDisk()
	f.start(victim)
}
