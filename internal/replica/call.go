package replica

import (
	"context"

	"github.com/pkg/errors"
)

// call runs a function in the replica's goroutine and waits for what it persists.
// It returns ErrNoQuorum when ctx ends before the function has started.
func (r *Replica) call(ctx context.Context, function func()) error {
	finished := make(chan struct{})
	select {
	case r.calls <- func() { function(); close(finished) }:
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.endError()
	}
	select {
	case <-finished:
		return nil
	case <-r.done:
		return r.endError()
	}
}
