package replica

import (
	"context"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// changeRequest is one change of the membership on its way into the log.
type changeRequest struct {
	next *apiv1.ReplicaMembership
	*proposal
}

// ChangeMembers replaces the list of members by one that differs in one member.
// Errors are those of Propose, and those of package raft for a change that is refused.
func (r *Replica) ChangeMembers(ctx context.Context, members []Member) error {
	request := &changeRequest{next: membershipOf(members), proposal: &proposal{done: make(chan outcome, 1)}}
	select {
	case r.changes <- request:
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.endError()
	}
	select {
	case out := <-request.done:
		return out.err
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	case <-r.done:
		return errors.Wrap(ErrOutcomeUnknown, r.endError().Error())
	}
}

func (r *Replica) change(request *changeRequest) {
	if leader := r.node.Leader(); leader != "" && leader != r.node.ID() {
		request.answer(nil, &notLeaderError{r.member(leader)})
		return
	}
	index, term, err := r.node.ProposeMembership(request.next)
	if err != nil {
		request.answer(nil, err)
		return
	}
	request.term = term
	r.pending[index] = request.proposal
}
