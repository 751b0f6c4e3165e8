package raft

import "github.com/pkg/errors"

var (
	// ErrNotLeader is returned for a proposal on a node that is not the leader, and for a read on a node that knows no
	// leader.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTooManyUncommitted is returned for a proposal while the log holds as many uncommitted entries, or as
	// much uncommitted data, as Config allows.
	ErrTooManyUncommitted = errors.New("raft: too many entries wait for their commit")
	// ErrMembershipChangePending is returned for a membership change while the previous one is uncommitted, or before
	// the leader has committed an entry of its own term.
	ErrMembershipChangePending = errors.New("raft: a membership change is not committed yet")
	// ErrInvalidMembershipChange is returned for a membership change that does not change exactly one member, lists a
	// member twice or leaves no voter.
	ErrInvalidMembershipChange = errors.New("raft: a membership change must change one member")
	// ErrLearnerBehind is returned for the promotion of a member to voter before it has caught up with the log.
	ErrLearnerBehind = errors.New("raft: the learner has not caught up")
)
