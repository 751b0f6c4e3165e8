package quota

import (
	"time"
)

// headcountMemory is the time for which nodes that are no longer known still count. It must be longer than nodes that cannot be
// reached go on serving: while they do, their part must not be given to the others.
const headcountMemory = 30 * time.Minute

// headcount is the largest number of nodes that was known within headcountMemory, by this node or by one that it talked to.
// The part of a node is one divided by it.
type headcount struct {
	// current and previous are the maxima of this period and of the one before; a period lasts headcountMemory.
	current, previous int
	began             time.Time
}

// record records a number of nodes.
func (h *headcount) record(nodes int, now time.Time) {
	switch passed := now.Sub(h.began); {
	case h.began.IsZero() || passed >= 2*headcountMemory:
		h.current, h.previous, h.began = 0, 0, now
	case passed >= headcountMemory:
		h.current, h.previous, h.began = 0, h.current, now
	}
	h.current = max(h.current, nodes)
}

// most returns the number by which quotas are divided.
func (h *headcount) most() int {
	return max(h.current, h.previous, 1)
}
