package replica

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"samphireflow/internal/raft"
)

// maxHeld bounds the proposals that wait for a leader to be elected.
const maxHeld = 1024

// The stages of a proposal: only a queued one can be withdrawn.
const (
	stageQueued int32 = iota
	stageAppended
	stageWithdrawn
)

// proposal is one command on its way into the log.
type proposal struct {
	data  []byte
	stage atomic.Int32
	term  uint64
	done  chan outcome
}

// outcome is the answer to a proposal.
type outcome struct {
	result []byte
	err    error
}

// Propose appends a command to the log and returns the state machine's result.
//
// Errors: ErrNotLeader, ErrNoQuorum and ErrClosed say that the command has no effect. ErrOutcomeUnknown says that it
// may still take effect. While no leader is known the call waits for one until ctx ends.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return nil, r.endError()
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		return r.giveUp(p, ctx.Err())
	case <-r.done:
		return r.giveUp(p, r.endError())
	}
}

// giveUp answers a proposal whose caller waits no longer.
func (r *Replica) giveUp(p *proposal, cause error) ([]byte, error) {
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

func (p *proposal) answer(result []byte, err error) {
	p.done <- outcome{result, err}
}

// propose takes one proposal in the replica's goroutine.
func (r *Replica) propose(p *proposal) {
	if leader := r.node.Leader(); leader == "" {
		r.hold(p)
		return
	} else if leader != r.node.ID() {
		p.answer(nil, &notLeaderError{r.member(leader)})
		return
	}
	if !p.stage.CompareAndSwap(stageQueued, stageAppended) {
		return
	}
	index, term, err := r.node.Propose(p.data)
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		p.answer(nil, ErrNotLeader)
	case err != nil:
		p.answer(nil, errors.Wrap(ErrNoQuorum, err.Error()))
	default:
		p.term = term
		r.pending[index] = p
	}
}

func (r *Replica) hold(p *proposal) {
	if len(r.held) >= maxHeld {
		p.answer(nil, errors.Wrap(ErrNoQuorum, "too many proposals wait for a leader"))
		return
	}
	r.held = append(r.held, p)
}

// releaseHeld takes the held proposals again once a leader is known, and forgets those that were withdrawn.
func (r *Replica) releaseHeld() {
	held := r.held
	r.held = nil
	for _, p := range held {
		if p.stage.Load() == stageQueued {
			r.propose(p)
		}
	}
}

// resolve answers the proposal at an index that was applied, if it is one of this replica's.
func (r *Replica) resolve(index, term uint64, result []byte) {
	p := r.pending[index]
	if p == nil {
		return
	}
	delete(r.pending, index)
	if p.term != term {
		p.answer(nil, errors.Wrap(ErrNotLeader, "another leader's entry took the place"))
		return
	}
	p.answer(result, nil)
}

// loseUpTo answers the proposals that a snapshot has jumped over.
func (r *Replica) loseUpTo(index uint64) {
	for at, p := range r.pending {
		if at <= index {
			delete(r.pending, at)
			p.answer(nil, errors.Wrap(ErrOutcomeUnknown, "a snapshot has jumped over the entry"))
		}
	}
}
