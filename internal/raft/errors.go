package raft

import "github.com/pkg/errors"

var (
	// ErrNotLeader refuses a proposal or read on a node that does not lead.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrBusy refuses a proposal while too many entries wait for their commit.
	ErrBusy = errors.New("raft: too many entries wait for their commit")
	// ErrChangePending refuses a membership change before the previous one is committed.
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	// ErrBadChange refuses a membership change of more than one voter, or one that leaves no voter.
	ErrBadChange = errors.New("raft: a membership change must change one member")
	// ErrLearnerBehind refuses to make a voter of a learner that has not caught up.
	ErrLearnerBehind = errors.New("raft: the learner has not caught up")
)
