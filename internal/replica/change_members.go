package replica

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// ErrNoSuchMember is returned by Remove for an instance that is not a member.
var ErrNoSuchMember = errors.New("replica: no such member")

// Invite allows an instance with a new name to join the group. Once that instance, started with an empty data folder,
// requests to join, it becomes a learner, and when it has caught up, a voter. Only the current leader keeps the
// invitation, in memory, so it must be repeated after a change of leader. Errors are those of Propose.
func (r *Replica) Invite(ctx context.Context, name string) error {
	var refusal error
	err := r.runOnLoop(ctx, func() {
		if refusal = r.checkLeader(); refusal == nil {
			r.invited[name] = true
		}
	})
	if err != nil {
		return err
	}
	return refusal
}

// Remove removes an instance from the group and waits for the commit. Errors are those of Propose, ErrNoSuchMember,
// and the errors with which package raft rejects a membership change.
func (r *Replica) Remove(ctx context.Context, name string) error {
	p := &proposal{done: make(chan proposalResult, 1)}
	if err := r.runOnLoop(ctx, func() { r.proposeRemoval(name, p) }); err != nil {
		return err
	}
	select {
	case out := <-p.done:
		return out.err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	case <-r.done:
		return errors.Wrap(ErrOutcomeUnknown, r.terminationError().Error())
	}
}

func (r *Replica) proposeRemoval(name string, p *proposal) {
	if err := r.checkLeader(); err != nil {
		p.complete(nil, err)
		return
	}
	members := r.node.Membership().GetMembers()
	for _, member := range members {
		if member.Name != name {
			continue
		}
		delete(r.invited, name)
		index, term, err := r.node.ProposeMembership(&apiv1.ReplicaMembership{Members: withoutMember(members, member.Id)})
		if err != nil {
			p.complete(nil, err)
			return
		}
		p.term = term
		r.pendingProposals[index] = p
		return
	}
	p.complete(nil, errors.Wrap(ErrNoSuchMember, name))
}

// checkLeader returns nil if this replica is the leader, ErrNoQuorum if no leader is known, and otherwise an
// ErrNotLeader that names the leader.
func (r *Replica) checkLeader() error {
	switch leader := r.node.Leader(); leader {
	case r.node.ID():
		return nil
	case "":
		return ErrNoQuorum
	default:
		return &notLeaderError{r.memberByIdentity(leader)}
	}
}
