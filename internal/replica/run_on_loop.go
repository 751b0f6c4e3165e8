package replica

import (
	"context"

	"github.com/pkg/errors"
)

// runOnLoop runs task on the loop and waits until it has returned, including its writes to the data folder.
// It returns ErrNoQuorum if ctx ends before the task has started.
func (r *Replica) runOnLoop(ctx context.Context, task func()) error {
	finished := make(chan struct{})
	select {
	case r.tasks <- func() { task(); close(finished) }:
	case <-ctx.Done():
		return errors.Wrap(ErrNoQuorum, ctx.Err().Error())
	case <-r.done:
		return r.terminationError()
	}
	select {
	case <-finished:
		return nil
	case <-r.done:
		return r.terminationError()
	}
}
