package deployment

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopGrace is the time that the processes of a role get for a graceful shutdown.
	stopGrace = 10 * time.Second
	// killGrace is the time after which a killed process must be gone.
	killGrace = 5 * time.Second
)

// stopAll ends processes role by role, backend servers first: SIGTERM, then SIGKILL after a grace. A PID that runs
// another command line by now is left alone.
func stopAll(processes []Process) error {
	for _, role := range []Role{RoleBackendServer, RoleNode, RoleControl} {
		list := byRole(processes, role)
		signalAll(list, syscall.SIGTERM)
		if !awaitGone(list, stopGrace) {
			signalAll(list, syscall.SIGKILL)
		}
		if !awaitGone(list, killGrace) {
			return errors.Errorf("some processes of role %s do not end", role)
		}
	}
	return nil
}

func signalAll(processes []Process, signal syscall.Signal) {
	for i := range processes {
		if processes[i].running() {
			// The process may end between the check and the signal.
			_ = syscall.Kill(processes[i].PID, signal)
		}
	}
}

// awaitGone reports whether all processes ended within the time.
func awaitGone(processes []Process, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for process.running() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}
