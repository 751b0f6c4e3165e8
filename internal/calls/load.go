package calls

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Load is the load of a backend server as its gate counts it: calls in flight, calls waiting at the gate, and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the time that work takes on the machine at this moment, relative to the usual: 1 is as usual, 0 unknown.
	Slowdown float64
	// LinkWait is the time that the link of the instance takes for the long responses that are promised.
	LinkWait time.Duration
}

// String returns the form that ParseLoad reads.
func (l Load) String() string {
	text := strconv.Itoa(l.Running) + "," + strconv.Itoa(l.Waiting) + "," + strconv.Itoa(l.Slots)
	linkWait := l.LinkWait.Milliseconds()
	if l.Slowdown > 0 || linkWait > 0 {
		text += "," + strconv.Itoa(int(math.Round(percent*l.Slowdown)))
	}
	if linkWait > 0 {
		text += "," + strconv.FormatInt(linkWait, 10)
	}
	return text
}

// percent is the unit of Slowdown in text.
const percent = 100.0

// ParseLoad parses the form "running,waiting,slots", which may be followed by the slowdown in percent and then by LinkWait in
// milliseconds.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 || len(parts) > 5 {
		return Load{}, false
	}
	var numbers [5]int
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{
		Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowdown: float64(numbers[3]) / percent,
		LinkWait: min(time.Duration(numbers[4])*time.Millisecond, maxHopTime),
	}, true
}
