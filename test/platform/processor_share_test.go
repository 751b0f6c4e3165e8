package platform_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// shareCheckInterval is the time between two checks of the processor time that a process has used.
	shareCheckInterval = 4 * time.Millisecond
	// shareBurst is the time for which an unused share is kept.
	shareBurst = 100 * time.Millisecond
)

// limitProcessorShare keeps a process to a share of one processor core: it is suspended while it has used more than its
// share. The limit ends with the test.
func limitProcessorShare(t *testing.T, process *os.Process, share float64) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		allowance, suspended := share*shareBurst.Seconds(), false
		lastTime, lastUsed := time.Now(), processorTime(process.Pid)
		for {
			select {
			case <-done:
				_ = process.Signal(syscall.SIGCONT)
				return
			case <-time.After(shareCheckInterval):
			}
			now, used := time.Now(), processorTime(process.Pid)
			allowance += share*now.Sub(lastTime).Seconds() - (used - lastUsed).Seconds()
			allowance = min(allowance, share*shareBurst.Seconds())
			lastTime, lastUsed = now, used
			if suspend := allowance < 0; suspend != suspended {
				suspended = suspend
				signal := syscall.SIGCONT
				if suspend {
					signal = syscall.SIGSTOP
				}
				_ = process.Signal(signal)
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-ended
	})
}

// processorTime returns the processor time that a process has used, 0 once it has ended.
func processorTime(pid int) time.Duration {
	// The ID of the clock of another process, see clock_getcpuclockid(3).
	const schedulerClock = 2
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|schedulerClock), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
