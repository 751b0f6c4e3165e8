package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "samphireflow/api/v1"
)

// readBarrierTimeout bounds the wait for a linearizable read.
const readBarrierTimeout = 2 * time.Second

// read waits until the local state is current. When no quorum can be reached, a stale read goes on and says how
// old it may be; another read fails.
func (s *Server) read(ctx context.Context, stale bool) (*apiv1.ReadFreshness, error) {
	barrier, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	freshness := &apiv1.ReadFreshness{ServedBy: s.options.Instance}
	err := s.options.Log.ReadIndex(barrier)
	if err != nil && !stale {
		return nil, twirp.NewError(twirp.Unavailable, "no linearizable read is possible: "+err.Error()).WithMeta("hint", "repeat the read as a stale one")
	}
	if err == nil {
		freshness.Linearizable = true
	} else {
		freshness.AgeMs = uint64(s.options.Log.Status().LastContact.Milliseconds())
	}
	freshness.Version = s.options.Machine.View().Version
	return freshness, nil
}
