package control

import (
	"context"
	"time"

	"samphireflow/internal/distribution"
)

// servingLoop logs for each version how it was sent to the watchers, once the next version is applied.
func (s *Server) servingLoop(ctx context.Context) error {
	last := uint64(0)
	for {
		changed := s.options.Machine.Changed()
		if version := s.options.Machine.View().Version; version != last {
			last = version
			s.watchServer.Stats().Begin(version, time.Now())
			for _, served := range s.watchServer.Stats().Finished() {
				s.logServed(served)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Server) logServed(served distribution.ServedVersion) {
	s.options.Logger.Info().Uint64("version", served.Version).Dur("build_ms", served.Build).Dur("encode_ms", served.Encode).
		Int("deltas", served.Deltas).Int("snapshots", served.Snapshots).Int("bytes", served.Bytes).
		Dur("first_ms", served.FirstResponse).Dur("last_ms", served.LastResponse).Msg("configuration version distributed")
}

// ServingTotals returns the sums of what this instance has sent to watchers.
func (s *Server) ServingTotals() distribution.ServingTotals {
	return s.watchServer.Stats().Totals()
}
