package claim

import "time"

const (
	// VoteWindow is the time within which an attempt must collect its grants, by its own clock. A restarted holder waits
	// longer than that before it reads the claims of other holders. By then no attempt can still count a grant that the
	// holder gave before its restart.
	VoteWindow = time.Second
	// MaxCallDuration is the longest time that a call may take. A claim is kept for its retention plus this time.
	MaxCallDuration = time.Minute
)

// Quorum is the number of holders, of a set of n, that must grant a claim.
func Quorum(n int) int {
	return n/2 + 1
}

// syncQuorum is the number of other holders whose claims a restarted holder must read, of a set of n. If it read fewer,
// all of them might lack a claim that had its majority only with the restarted holder's vote.
func syncQuorum(n int) int {
	return n - Quorum(n) + 1
}
