package replica

import (
	"context"

	"github.com/pkg/errors"
)

// readRequest is one read barrier.
type readRequest struct {
	ctx  context.Context
	done chan struct{}
	// index is what must be applied, known once confirmed is set.
	index     uint64
	confirmed bool
}

// ReadIndex waits until the local state machine has everything that was accepted before the call.
// It returns ErrNoQuorum when ctx ends first.
func (r *Replica) ReadIndex(ctx context.Context) error {
	request := &readRequest{ctx: ctx, done: make(chan struct{})}
	select {
	case r.reads <- request:
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.endError()
	}
	select {
	case <-request.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.endError()
	}
}

// startRead asks the leader for the read's index; repeatReads asks again while there is no answer.
func (r *Replica) startRead(request *readRequest) {
	r.nextRead++
	r.waiting[r.nextRead] = request
	r.askRead(r.nextRead)
}

func (r *Replica) askRead(id uint64) {
	if err := r.node.ReadIndex(id); err != nil {
		r.options.Logger.Trace().Err(err).Msg("a read waits for a leader")
	}
}

func (r *Replica) repeatReads() {
	for id, request := range r.waiting {
		if request.ctx.Err() != nil {
			delete(r.waiting, id)
			continue
		}
		if !request.confirmed {
			r.askRead(id)
		}
	}
}

func (r *Replica) confirmRead(id, index uint64) {
	if request := r.waiting[id]; request != nil && !request.confirmed {
		request.confirmed = true
		request.index = index
	}
}

func (r *Replica) releaseReads() {
	for id, request := range r.waiting {
		if request.confirmed && request.index <= r.node.Applied() {
			delete(r.waiting, id)
			close(request.done)
		}
	}
}
