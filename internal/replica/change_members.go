package replica

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// ErrNoSuchMember is returned by Remove for an instance that is not a member.
var ErrNoSuchMember = errors.New("replica: no such member")

// maxInvited limits the invitations. They are part of the membership, which every snapshot holds.
const maxInvited = 64

// ErrTooManyInvited is returned by Invite while maxInvited instances are invited. Remove ends an invitation.
var ErrTooManyInvited = errors.New("replica: too many instances are invited")

// Invite allows an instance with a new name to join the group, and waits for the commit of that. Once that instance, started
// with an empty data folder, requests to join, it becomes a learner, and when it has caught up, a voter. The invitation is part
// of the membership, so it outlasts the leader; it ends when the instance is removed. Errors are those of Propose,
// ErrTooManyInvited, and the errors with which package raft rejects a membership change.
func (r *Replica) Invite(ctx context.Context, name string) error {
	return r.changeMembership(ctx, func(p *proposal) { r.proposeInvitation(name, p) })
}

// Remove removes an instance from the group, and its invitation, and waits for the commit. Errors are those of Propose,
// ErrNoSuchMember, and the errors with which package raft rejects a membership change.
func (r *Replica) Remove(ctx context.Context, name string) error {
	return r.changeMembership(ctx, func(p *proposal) { r.proposeRemoval(name, p) })
}

// changeMembership lets the loop propose a change and waits for its result.
func (r *Replica) changeMembership(ctx context.Context, propose func(*proposal)) error {
	p := &proposal{done: make(chan proposalResult, 1)}
	if err := r.runOnLoop(ctx, func() { propose(p) }); err != nil {
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

func (r *Replica) proposeInvitation(name string, p *proposal) {
	current := r.node.Membership()
	switch {
	case slices.Contains(current.Invited, name) && r.checkLeader() == nil && r.node.MembershipCommitted():
		p.complete(nil, nil)
	case len(current.Invited) >= maxInvited:
		p.complete(nil, ErrTooManyInvited)
	default:
		invited := append(slices.Clone(current.Invited), name)
		r.proposeMembership(&apiv1.ReplicaMembership{Members: current.Members, Invited: invited}, p)
	}
}

func (r *Replica) proposeRemoval(name string, p *proposal) {
	current := r.node.Membership()
	invited := slices.DeleteFunc(slices.Clone(current.Invited), func(other string) bool { return other == name })
	members := current.Members
	for _, member := range members {
		if member.Name == name {
			members = withoutMember(members, member.Id)
			break
		}
	}
	if len(members) == len(current.Members) && len(invited) == len(current.Invited) {
		if err := r.checkLeader(); err != nil {
			p.complete(nil, err)
			return
		}
		p.complete(nil, errors.Wrap(ErrNoSuchMember, name))
		return
	}
	r.proposeMembership(&apiv1.ReplicaMembership{Members: members, Invited: invited}, p)
}

// proposeMembership appends a membership to the log if this replica is the leader.
func (r *Replica) proposeMembership(next *apiv1.ReplicaMembership, p *proposal) {
	if err := r.checkLeader(); err != nil {
		p.complete(nil, err)
		return
	}
	index, term, err := r.node.ProposeMembership(next)
	if err != nil {
		p.complete(nil, err)
		return
	}
	p.term = term
	r.pendingProposals[index] = p
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
