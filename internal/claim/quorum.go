package claim

import "time"

const (
	// VoteWindow is the time within which an attempt must collect its grants, by its own clock. A holder with a lost
	// memory waits longer than that before it reads the memory of others, so that no grant of its earlier life can
	// still be counted together with a later one.
	VoteWindow = time.Second
	// MaxCallDuration is the longest time that a call may take. Claims are kept that much longer than their retention.
	MaxCallDuration = time.Minute
)

// Quorum is the number of holders that give the right to run, of a set of n.
func Quorum(n int) int {
	return n/2 + 1
}

// coverage is the number of other holders that a holder without memory must read: any fewer may all have missed a claim
// that its lost vote decided.
func coverage(n int) int {
	return n - Quorum(n) + 1
}
