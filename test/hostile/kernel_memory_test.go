package hostile_test

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// megabyte is the unit of the memory of a machine in the crowds' bounds here, in bytes: the smaller of the two in use.
const megabyte = 1_000_000

// machineUsage is the memory of a machine that one process takes at most, in bytes: its resident memory, and the bytes that
// wait in the kernel in both directions of its connections.
type machineUsage struct {
	resident, kernel int
	descriptors      int
}

func (u machineUsage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB in the kernel, %d descriptors", u.resident/megabyte, u.kernel/megabyte, u.descriptors)
}

func (u machineUsage) total() int { return u.resident + u.kernel }

// machineSampler samples the memory that a process takes of its machine. Its end returns the sum of the peaks, which is no less
// than the peak of the sum.
type machineSampler struct {
	*usageSampler
	machine machineUsage
}

func startMachineSampler(pid int, ip string) *machineSampler {
	s := &machineSampler{usageSampler: newUsageSampler(pid, ip)}
	s.start(func() {
		s.machine.resident = max(s.machine.resident, residentPeakBytes(s.pid))
		s.machine.kernel = max(s.machine.kernel, waitingBytes(s.pid, s.ip))
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid)); err == nil {
			s.machine.descriptors = max(s.machine.descriptors, len(entries))
		}
	})
	return s
}

func (s *machineSampler) endMachine() machineUsage {
	s.finish()
	return s.machine
}

func residentPeakBytes(pid int) int { return peakResidentKB(pid) << 10 }

// waitingBytes returns the bytes that wait in the kernel at the sockets of a process, and at those of its listeners that it has
// not accepted yet.
func waitingBytes(pid int, ip string) int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	own := socketInodes(pid)
	total := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		const (
			localField, stateField, queuesField, inodeField = 1, 3, 4, 9
			opening, listening                              = "02", "0A"
			notAccepted                                     = "0"
		)
		fields := strings.Fields(lines.Text())
		// The positions of a connection that is being opened are not set yet.
		if len(fields) <= inodeField || fields[stateField] == listening || fields[stateField] == opening {
			continue
		}
		if !own[fields[inodeField]] && (fields[inodeField] != notAccepted || !isListenAddr(fields[localField], ip)) {
			continue
		}
		sent, received, _ := strings.Cut(fields[queuesField], ":")
		for _, queue := range []string{sent, received} {
			total += queuedBytes(queue)
		}
	}
	return total
}

// queuedBytes returns the length of a queue in the notation of /proc/net/tcp. The kernel reads the two positions that it is the
// difference of one after the other, so that it may be below zero: nothing waits then.
func queuedBytes(queue string) int {
	n, _ := strconv.ParseUint(queue, 16, 32)
	return int(max(int32(uint32(n)), 0))
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(dir + "/" + entry.Name())
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

func TestQueuedBytes(t *testing.T) {
	for queue, want := range map[string]int{"00000000": 0, "001E8480": 2_000_000, "7FFFFFFF": 1<<31 - 1, "80000000": 0, "FFFFFFF8": 0} {
		assert.Equal(t, want, queuedBytes(queue), "%s", queue)
	}
}
