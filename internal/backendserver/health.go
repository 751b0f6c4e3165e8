package backendserver

import (
	"context"
	"time"
)

// actualReport returns the current report, to which no fault has been applied.
func (s *Server) actualReport() Report {
	draining := s.draining.Load()
	return Report{Healthy: !draining, InFlight: s.slots.inFlight(), Slots: s.cfg.Slots, Draining: draining}
}

// report returns the report that the backend server publishes. A HealthFault can make it late or wrong.
func (s *Server) report() Report {
	report := s.actualReport()
	fault := s.faults.Load().set.Health
	if fault.Lag > 0 {
		s.samplesMu.Lock()
		if delayed, ok := sampleAt(s.samples, time.Now().Add(-time.Duration(fault.Lag))); ok {
			report = delayed
		}
		s.samplesMu.Unlock()
	}
	return applyHealthFault(report, fault)
}

// sampleLoop records samples of the actual report until the context ends.
func (s *Server) sampleLoop(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.addSample(sample{at: now, report: s.actualReport()})
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
