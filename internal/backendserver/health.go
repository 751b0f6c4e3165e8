package backendserver

import (
	"context"
	"time"
)

// truth returns the report without faults.
func (s *Server) truth() Report {
	draining := s.draining.Load()
	return Report{Healthy: !draining, InFlight: s.slots.inFlight(), Slots: s.cfg.Slots, Draining: draining}
}

// report returns what the backend server says about itself, which faults may make late or wrong.
func (s *Server) report() Report {
	report := s.truth()
	fault := s.faults.Load().set.Health
	if fault.Lag > 0 {
		s.samplesMu.Lock()
		if late, ok := sampleAt(s.samples, time.Now().Add(-time.Duration(fault.Lag))); ok {
			report = late
		}
		s.samplesMu.Unlock()
	}
	return distort(report, fault)
}

// sampleLoop keeps samples of the truth until the context ends.
func (s *Server) sampleLoop(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.addSample(sample{at: now, report: s.truth()})
		}
	}
}

func (s *Server) addSample(next sample) {
	s.samplesMu.Lock()
	defer s.samplesMu.Unlock()
	s.samples = append(s.samples, next)
	if len(s.samples) > sampleCount {
		s.samples = append(s.samples[:0], s.samples[1:]...)
	}
}
