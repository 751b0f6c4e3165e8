package daemon

import (
	"golang.org/x/sys/unix"

	"samphireflow/internal/resources"
)

// defaultDescriptors is the number of descriptors of a process for which neither the settings nor the system state one.
const defaultDescriptors = 1024

// newKeeper returns the keeper of the connections of all listeners of the process.
func (d *Daemon) newKeeper() *resources.Keeper {
	classes := []resources.Class{resources.Control, resources.Admin}
	if d.settings.IsNode() {
		classes = append(classes, resources.Callers)
		if d.settings.GateAddr != "" {
			classes = append(classes, resources.Gate)
		}
		if d.platform.AnnounceAddr != "" {
			classes = append(classes, resources.Announcements)
		}
		if d.platform.ReadyAddr != "" {
			classes = append(classes, resources.Readiness)
		}
	}
	account := resources.NewAccount(resources.NewLimits(d.descriptors(), d.settings.MemoryLimitMB), classes...)
	d.registry.MustRegister(resources.NewMetrics(account))
	return resources.NewKeeper(account, d.logger)
}

// descriptors returns the number of descriptors that the process may have open.
func (d *Daemon) descriptors() int {
	if d.settings.MaxDescriptors > 0 {
		return d.settings.MaxDescriptors
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}
