package replica

import "github.com/pkg/errors"

var (
	// ErrNotLeader means that the proposal has no effect because another instance is the leader; see LeaderOf.
	ErrNotLeader = errors.New("replica: not the leader")
	// ErrNoQuorum means that the proposal or read has no effect because no majority was reachable in time.
	ErrNoQuorum = errors.New("replica: no majority is reachable")
	// ErrOutcomeUnknown means that the proposal is in the log and may or may not take effect.
	ErrOutcomeUnknown = errors.New("replica: the outcome is not known")
	// ErrClosed means that the replica was closed before it handled the proposal or read.
	ErrClosed = errors.New("replica: closed")
	// ErrStopped means that the replica stopped after a storage failure, before it handled the proposal or read. The
	// instance takes no further part in the group.
	ErrStopped = errors.New("replica: stopped after a storage failure")
)

// notLeaderError is an ErrNotLeader that names the leader.
type notLeaderError struct {
	leader Member
}

func (e *notLeaderError) Error() string {
	return ErrNotLeader.Error() + "; the leader is " + e.leader.ID
}

func (e *notLeaderError) Unwrap() error { return ErrNotLeader }

// LeaderOf returns the leader that an ErrNotLeader names. It reports false for other errors and if no leader is named.
func LeaderOf(err error) (Member, bool) {
	var refusal *notLeaderError
	if !errors.As(err, &refusal) {
		return Member{}, false
	}
	return refusal.leader, true
}
