package hostile_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usage is what a process uses at most while a crowd is there.
type usage struct {
	// residentMB is the peak of the resident memory, unreadMB that of the received bytes that the process has not read.
	residentMB, unreadMB int
	descriptors          int
}

func (u usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB unread, %d descriptors", u.residentMB, u.unreadMB, u.descriptors)
}

// usageSampler samples the usage of one process until it is stopped.
type usageSampler struct {
	pid  int
	ip   string
	stop chan struct{}
	done sync.WaitGroup
	peak usage
}

func startSampler(pid int, ip string) *usageSampler {
	s := newUsageSampler(pid, ip)
	s.start(s.sample)
	return s
}

func newUsageSampler(pid int, ip string) *usageSampler {
	return &usageSampler{pid: pid, ip: ip, stop: make(chan struct{})}
}

// start calls sample again and again until finish is called.
func (s *usageSampler) start(sample func()) {
	// Sets the peak of the resident memory, VmHWM, back to the present value; see proc_pid_clear_refs(5).
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", s.pid), []byte("5"), 0)
	s.done.Go(func() {
		for {
			sample()
			select {
			case <-s.stop:
				sample()
				return
			case <-time.After(pollInterval):
			}
		}
	})
}

func (s *usageSampler) finish() {
	close(s.stop)
	s.done.Wait()
}

// end stops the sampling and returns the peaks.
func (s *usageSampler) end() usage {
	s.finish()
	return s.peak
}

func (s *usageSampler) sample() {
	s.peak.residentMB = max(s.peak.residentMB, peakResidentMB(s.pid))
	s.peak.unreadMB = max(s.peak.unreadMB, unreadBytes(s.ip)>>20)
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid)); err == nil {
		s.peak.descriptors = max(s.peak.descriptors, len(entries))
	}
}

func peakResidentMB(pid int) int { return peakResidentKB(pid) >> 10 }

func peakResidentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kilobytes
		}
	}
	return 0
}

// unreadBytes returns the received bytes that wait in the kernel at the listening ports of an instance.
func unreadBytes(ip string) int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	total := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !isListenAddr(fields[1], ip) {
			continue
		}
		const listening = "0A"
		if _, received, found := strings.Cut(fields[4], ":"); found && fields[3] != listening {
			n, _ := strconv.ParseInt(received, 16, 64)
			total += int(n)
		}
	}
	return total
}

// isListenAddr reports whether an address in the notation of /proc/net/tcp belongs to a listener of an instance.
func isListenAddr(text, ip string) bool {
	host, portText, _ := strings.Cut(text, ":")
	port, err := strconv.ParseInt(portText, 16, 32)
	if err != nil || port < int64(listenPorts[0]) || port > firstInternalPort+100 {
		return false
	}
	address := net.ParseIP(ip).To4()
	// The kernel prints the address as a number in the machine's byte order, which is little endian on both architectures.
	return host == fmt.Sprintf("%02X%02X%02X%02X", address[3], address[2], address[1], address[0])
}
