package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

const (
	// linearizableReadTimeout limits the wait for a linearizable read. It is below the time that the command-line tool
	// allows for each of three instances, so that the tool receives the reason for a failure.
	linearizableReadTimeout = time.Second
	// staleReadTimeout limits the wait for a read that may be stale.
	staleReadTimeout = 300 * time.Millisecond
)

// prepareRead waits until the local state is current, so that a read of it is linearizable. If no quorum answers, it
// fails, or, for a read that may be stale, it returns how old the local state may be.
func (s *Server) prepareRead(ctx context.Context, stale bool) (*apiv1.ReadFreshness, error) {
	timeout := linearizableReadTimeout
	if stale {
		timeout = staleReadTimeout
	}
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	freshness := &apiv1.ReadFreshness{ServedBy: s.options.Instance}
	err := s.options.Log.ReadIndex(readCtx)
	if err != nil && !stale {
		return nil, twirp.NewError(twirp.Unavailable, "no linearizable read is possible, a stale one is: "+err.Error())
	}
	if err == nil {
		freshness.Linearizable = true
	} else {
		freshness.AgeMs = uint64(s.options.Log.Status().LastContact.Milliseconds())
	}
	freshness.Version = s.options.Machine.View().Version
	return freshness, nil
}

// readIndexInTime waits until the local state is current, at most linearizableReadTimeout.
func readIndexInTime(log Log) error {
	ctx, cancel := context.WithTimeout(context.Background(), linearizableReadTimeout)
	defer cancel()
	return log.ReadIndex(ctx)
}
