package replica

import (
	"context"

	"github.com/pkg/errors"
)

// readRequest is a pending call of ReadIndex.
type readRequest struct {
	ctx context.Context
	// done receives the result.
	done chan error
	// index is the log index that must be applied before the read completes. It is valid once confirmed is set.
	index     uint64
	confirmed bool
}

// ReadIndex waits until the local state machine has applied everything that was committed before the call, so that a
// read of it is linearizable. It returns ErrNoQuorum if ctx ends first.
func (r *Replica) ReadIndex(ctx context.Context) error {
	request := &readRequest{ctx: ctx, done: make(chan error, 1)}
	select {
	case r.reads <- request:
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.terminationError()
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.terminationError()
	}
}

// complete passes the result to ReadIndex.
func (r *readRequest) complete(err error) {
	r.done <- err
}

// handleRead requests the read's index from the leader. retryReads repeats the request until there is a reply.
func (r *Replica) handleRead(request *readRequest) {
	r.lastReadID++
	r.pendingReads[r.lastReadID] = request
	r.requestReadIndex(r.lastReadID)
}

func (r *Replica) requestReadIndex(id uint64) {
	if err := r.node.ReadIndex(id); err != nil {
		r.options.Logger.Trace().Err(err).Msg("a read waits for a leader")
	}
}

func (r *Replica) retryReads() {
	for id, request := range r.pendingReads {
		if request.ctx.Err() != nil {
			delete(r.pendingReads, id)
			continue
		}
		if !request.confirmed {
			r.requestReadIndex(id)
		}
	}
}

func (r *Replica) confirmRead(id, index uint64) {
	if request := r.pendingReads[id]; request != nil && !request.confirmed {
		request.confirmed = true
		request.index = index
	}
}

func (r *Replica) completeReads() {
	for id, request := range r.pendingReads {
		if request.confirmed && request.index <= r.node.Applied() {
			delete(r.pendingReads, id)
			request.complete(nil)
		}
	}
}
