package traffic

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	// userField and systemField are the positions of the processor times after the process name in /proc/PID/stat
	// (proc(5)).
	userField   = 11
	systemField = 12
	// kibibyte is the unit of memory in /proc, in bytes.
	kibibyte = 1024
)

// cpuSeconds returns the processor time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= systemField {
		return 0, errors.New("processor time is missing")
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	system, err := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / ticksPerSecond, errors.Wrap(err, "read processor time")
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (float64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			size, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return size * kibibyte, errors.Wrap(err, "read memory")
		}
	}
	return 0, errors.New("resident memory is missing")
}
