package deployment

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopTimeout bounds the graceful shutdown of the processes of a role.
	stopTimeout = 10 * time.Second
	// killTimeout bounds the wait for killed processes to exit.
	killTimeout = 5 * time.Second
)

// stopAll stops processes role by role, backend servers first. It sends SIGTERM, and SIGKILL after stopTimeout, but no
// signal to a PID that belongs to another command line by now.
func stopAll(processes []Process) error {
	for _, role := range []Role{RoleBackendServer, RoleNode, RoleControl} {
		list := byRole(processes, role)
		signalAll(list, syscall.SIGTERM)
		if !awaitExits(list, stopTimeout) {
			signalAll(list, syscall.SIGKILL)
		}
		if !awaitExits(list, killTimeout) {
			return errors.Errorf("some processes of role %s do not exit", role)
		}
	}
	return nil
}

// signalAll sends a signal to the processes that still run.
func signalAll(processes []Process, signal syscall.Signal) {
	for i := range processes {
		if processes[i].running() {
			// The process may exit between the check and the signal.
			_ = syscall.Kill(processes[i].PID, signal)
		}
	}
}

// awaitExits reports whether all processes exit within the timeout.
func awaitExits(processes []Process, timeout time.Duration) bool {
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
