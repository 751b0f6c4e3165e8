package replica

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// ErrNoSuchMember refuses to remove an instance that is not a member.
var ErrNoSuchMember = errors.New("replica: no such member")

// Invite lets an instance of a new name join the group. It asks for that with a blank folder, becomes a learner and,
// once it has caught up, a voter. The invitation is kept by this leader only and must be repeated after a change of
// the leader. Errors are those of Propose.
func (r *Replica) Invite(ctx context.Context, name string) error {
	var refusal error
	err := r.call(ctx, func() {
		if refusal = r.leaderError(); refusal == nil {
			r.invited[name] = true
		}
	})
	if err != nil {
		return err
	}
	return refusal
}

// Remove takes an instance out of the group and waits for the commit. Errors are those of Propose, ErrNoSuchMember,
// and those of package raft for a change that is refused.
func (r *Replica) Remove(ctx context.Context, name string) error {
	p := &proposal{done: make(chan outcome, 1)}
	if err := r.call(ctx, func() { r.proposeRemoval(name, p) }); err != nil {
		return err
	}
	select {
	case out := <-p.done:
		return out.err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	case <-r.done:
		return errors.Wrap(ErrOutcomeUnknown, r.endError().Error())
	}
}

func (r *Replica) proposeRemoval(name string, p *proposal) {
	if err := r.leaderError(); err != nil {
		p.answer(nil, err)
		return
	}
	members := r.node.Membership().GetMembers()
	for _, member := range members {
		if member.Name != name {
			continue
		}
		delete(r.invited, name)
		index, term, err := r.node.ProposeMembership(&apiv1.ReplicaMembership{Members: without(members, member.Id)})
		if err != nil {
			p.answer(nil, err)
			return
		}
		p.term = term
		r.pending[index] = p
		return
	}
	p.answer(nil, errors.Wrap(ErrNoSuchMember, name))
}

// leaderError is nil on the leader.
func (r *Replica) leaderError() error {
	switch leader := r.node.Leader(); leader {
	case r.node.ID():
		return nil
	case "":
		return ErrNoQuorum
	default:
		return &notLeaderError{r.member(leader)}
	}
}
