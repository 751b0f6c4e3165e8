package distribution

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usage is the total resource usage of processes since their start.
type usage struct {
	at time.Time
	// cpu is processor time. sent and received are payload bytes, without the headers of TCP and IP.
	cpu      time.Duration
	sent     float64
	received float64
}

// clockTick is the unit of processor time in /proc, which Linux fixes for user programs.
const clockTick = 10 * time.Millisecond

// usageOf adds up the usage of processes.
func usageOf(pids ...int) (usage, error) {
	total := usage{at: time.Now()}
	for _, pid := range pids {
		if err := total.add(pid); err != nil {
			return total, err
		}
	}
	return total, nil
}

func (u *usage) add(pid int) error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return errors.Wrap(err, "read processor time")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, field := range fields[11:13] {
		ticks, err := strconv.Atoi(field)
		if err != nil {
			return errors.Wrap(err, "read processor time")
		}
		u.cpu += time.Duration(ticks) * clockTick
	}
	sent, err := procValue(pid, "io", "wchar:")
	if err != nil {
		return err
	}
	received, err := procValue(pid, "io", "rchar:")
	u.sent += sent
	u.received += received
	return err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	kilobytes, err := procValue(pid, "status", "VmRSS:")
	return kilobytes * 1024, err
}

// procValue reads a named number from a file of a process.
func procValue(pid int, file, name string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, errors.Wrap(err, "read usage")
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, errors.Errorf("/proc/%d/%s has no %s", pid, file, name)
}

// usageRate is resource usage per second.
type usageRate struct {
	// cores is processor time per second.
	cores    float64
	sent     float64
	received float64
}

// rateSince returns the average usage per second between an earlier reading and this one.
func (u usage) rateSince(earlier usage) usageRate {
	seconds := u.at.Sub(earlier.at).Seconds()
	return usageRate{
		cores:    (u.cpu - earlier.cpu).Seconds() / seconds,
		sent:     (u.sent - earlier.sent) / seconds,
		received: (u.received - earlier.received) / seconds,
	}
}

// per returns the average rate per process.
func (r usageRate) per(count int) usageRate {
	n := float64(count)
	return usageRate{cores: r.cores / n, sent: r.sent / n, received: r.received / n}
}

// bytes is the traffic in both directions.
func (r usageRate) bytes() float64 {
	return r.sent + r.received
}
