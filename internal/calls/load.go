package calls

import (
	"strconv"
	"strings"
)

// Load is the load of a backend server as its gate counts it: calls in flight, calls waiting at the gate, and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// String returns the form that ParseLoad reads.
func (l Load) String() string {
	return strconv.Itoa(l.Running) + "," + strconv.Itoa(l.Waiting) + "," + strconv.Itoa(l.Slots)
}

// ParseLoad parses the form "running,waiting,slots".
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var numbers [3]int
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[i] = number
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}
