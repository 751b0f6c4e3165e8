package raft

import "github.com/pkg/errors"

var (
	// ErrNotLeader refuses a proposal or read on a node that does not lead.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTooManyUncommitted refuses a proposal while too many entries wait for their commit.
	ErrTooManyUncommitted = errors.New("raft: too many entries wait for their commit")
	// ErrMembershipChangePending refuses a membership change before the previous one is committed.
	ErrMembershipChangePending = errors.New("raft: a membership change is not committed yet")
	// ErrInvalidMembershipChange refuses a membership change of more than one voter, or one that leaves no voter.
	ErrInvalidMembershipChange = errors.New("raft: a membership change must change one member")
	// ErrLearnerBehind refuses to make a voter of a learner that has not caught up.
	ErrLearnerBehind = errors.New("raft: the learner has not caught up")
)
