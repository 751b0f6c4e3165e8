package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

const (
	// readBarrierTimeout bounds the wait for a linearizable read. It is below the time that the command-line tool gives
	// one of three instances, so that the tool gets the reason.
	readBarrierTimeout = time.Second
	// staleBarrierTimeout bounds the wait of a read that may be stale.
	staleBarrierTimeout = 300 * time.Millisecond
)

// read waits until the local state is current. When no quorum can be reached, a stale read goes on and says how
// old it may be; another read fails.
func (s *Server) read(ctx context.Context, stale bool) (*apiv1.ReadFreshness, error) {
	timeout := readBarrierTimeout
	if stale {
		timeout = staleBarrierTimeout
	}
	barrier, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	freshness := &apiv1.ReadFreshness{ServedBy: s.options.Instance}
	err := s.options.Log.ReadIndex(barrier)
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
