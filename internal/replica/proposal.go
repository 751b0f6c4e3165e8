package replica

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"samphireflow/internal/raft"
)

const (
	// maxWaitingProposals limits the number of proposals that wait for the election of a leader.
	maxWaitingProposals = 1024
	// maxWaitingBytes limits their total data. One proposal of any size may wait.
	maxWaitingBytes = 16 << 20
)

// These are the stages of a proposal. Only a queued proposal can be withdrawn.
const (
	stageQueued int32 = iota
	stageAppended
	stageWithdrawn
)

// proposal is a command or membership change that awaits its result.
type proposal struct {
	data  []byte
	stage atomic.Int32
	term  uint64
	done  chan proposalResult
}

// proposalResult is the state machine's result of a proposal, or the error that ended it.
type proposalResult struct {
	result []byte
	err    error
}

// Propose appends a command to the log and returns the state machine's result.
//
// ErrNotLeader, ErrNoQuorum, ErrClosed and ErrStopped mean that the command has no effect. ErrOutcomeUnknown means that
// it may still take effect. While no leader is known, the call waits for one until ctx ends.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{data: data, done: make(chan proposalResult, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return nil, r.terminationError()
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		return r.withdraw(p, ctx.Err())
	case <-r.done:
		return r.withdraw(p, r.terminationError())
	}
}

// withdraw returns the result of a proposal that Propose no longer waits for. A proposal that is still queued has no
// effect; the outcome of an appended one is unknown.
func (r *Replica) withdraw(p *proposal, cause error) ([]byte, error) {
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
	}
	if !p.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
		return nil, errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	if errors.Is(cause, ErrClosed) || errors.Is(cause, ErrStopped) {
		return nil, cause
	}
	return nil, errors.Wrap(ErrNoQuorum, cause.Error())
}

// complete passes the result to Propose or Remove.
func (p *proposal) complete(result []byte, err error) {
	p.done <- proposalResult{result, err}
}

// handleProposal appends a proposal to the log if this replica is the leader. It rejects the proposal if another
// instance is the leader, and keeps it waiting if no leader is known.
func (r *Replica) handleProposal(p *proposal) {
	if leader := r.node.Leader(); leader == "" {
		r.waitForLeader(p)
		return
	} else if leader != r.node.ID() {
		p.complete(nil, &notLeaderError{r.memberByIdentity(leader)})
		return
	}
	if !p.stage.CompareAndSwap(stageQueued, stageAppended) {
		return
	}
	index, term, err := r.node.Propose(p.data)
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		p.complete(nil, ErrNotLeader)
	case err != nil:
		p.complete(nil, errors.Wrap(ErrNoQuorum, err.Error()))
	default:
		p.term = term
		r.pendingProposals[index] = p
	}
}

// waitForLeader keeps a proposal until a leader is known.
func (r *Replica) waitForLeader(p *proposal) {
	full := len(r.waitingProposals) >= maxWaitingProposals ||
		len(r.waitingProposals) > 0 && r.waitingBytes+len(p.data) > maxWaitingBytes
	if full {
		p.complete(nil, errors.Wrap(ErrNoQuorum, "too many proposals wait for a leader"))
		return
	}
	r.waitingProposals = append(r.waitingProposals, p)
	r.waitingBytes += len(p.data)
}

// retryWaitingProposals handles the waiting proposals again, which are kept if there is still no leader, and drops
// those that were withdrawn.
func (r *Replica) retryWaitingProposals() {
	waiting := r.waitingProposals
	r.waitingProposals, r.waitingBytes = nil, 0
	for _, p := range waiting {
		if p.stage.Load() == stageQueued {
			r.handleProposal(p)
		}
	}
}

// completeProposal completes the proposal of this replica, if any, at an index that was applied. If the entry there has
// another term, another leader has overwritten the proposal.
func (r *Replica) completeProposal(index, term uint64, result []byte) {
	p := r.pendingProposals[index]
	if p == nil {
		return
	}
	delete(r.pendingProposals, index)
	if p.term != term {
		p.complete(nil, errors.Wrap(ErrNotLeader, "another leader's entry took the place"))
		return
	}
	p.complete(result, nil)
}

// failProposalsUpTo fails the proposals up to an index whose entries a received snapshot has replaced. Whether they
// were applied is not known.
func (r *Replica) failProposalsUpTo(index uint64) {
	for at, p := range r.pendingProposals {
		if at <= index {
			delete(r.pendingProposals, at)
			p.complete(nil, errors.Wrap(ErrOutcomeUnknown, "a snapshot has jumped over the entry"))
		}
	}
}
