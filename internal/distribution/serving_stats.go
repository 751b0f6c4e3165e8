package distribution

import (
	"sync"
	"time"
)

// DelayBuckets are the upper bounds, in seconds, of the buckets of ServingTotals.Delays.
var DelayBuckets = []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8}

// ServingTotals sums what a process has sent to its watchers since its start.
type ServingTotals struct {
	Build         time.Duration
	Encode        time.Duration
	Deltas        uint64
	Snapshots     uint64
	DeltaBytes    uint64
	SnapshotBytes uint64
	// Delays counts the responses by the time since the version was applied in this process, cumulated by DelayBuckets;
	// DelaySum is the sum of these times.
	Delays   []uint64
	DelaySum time.Duration
}

// ServingStats measures how versions reach the watchers of a process. It is safe for concurrent use.
type ServingStats struct {
	mu      sync.Mutex
	current ServedVersion
	// appliedAt is the time at which the process applied the current version.
	appliedAt time.Time
	// finished holds the versions before the current one that Finished has not returned yet.
	finished []ServedVersion
	totals   ServingTotals
}

func newServingStats() *ServingStats {
	return &ServingStats{totals: ServingTotals{Delays: make([]uint64, len(DelayBuckets))}}
}

// Begin records that the process has applied a version.
func (s *ServingStats) Begin(version uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(version, now)
}

// begin makes a version the current one if it is newer. Whoever works on a version first calls it, because the watchers wake
// in no particular order. The caller must hold mu.
func (s *ServingStats) begin(version uint64, now time.Time) {
	if version <= s.current.Version {
		return
	}
	if s.current.Version > 0 {
		s.finished = append(s.finished, s.current)
	}
	s.current, s.appliedAt = ServedVersion{Version: version}, now
}

// Finished returns the versions that were replaced by newer ones since the last call.
func (s *ServingStats) Finished() []ServedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	finished := s.finished
	s.finished = nil
	return finished
}

// RecordBuild adds the time that building a snapshot of a version took until now.
func (s *ServingStats) RecordBuild(version uint64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(version, time.Now().Add(-took))
	s.current.Build += took
	s.totals.Build += took
}

func (s *ServingStats) recordEncode(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Encode += took
	s.totals.Encode += took
}

// recordResponse adds a response with an encoded snapshot or delta of the newest version.
func (s *ServingStats) recordResponse(snapshot, delta []byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta != nil {
		s.current.Deltas++
		s.totals.Deltas++
		s.totals.DeltaBytes += uint64(len(delta))
	} else {
		s.current.Snapshots++
		s.totals.Snapshots++
		s.totals.SnapshotBytes += uint64(len(snapshot))
	}
	s.current.Bytes += len(delta) + len(snapshot)
	if s.appliedAt.IsZero() {
		return
	}
	delay := now.Sub(s.appliedAt)
	if s.current.Deltas+s.current.Snapshots == 1 {
		s.current.FirstResponse = delay
	}
	s.current.LastResponse = delay
	s.totals.DelaySum += delay
	for i, bound := range DelayBuckets {
		if delay.Seconds() <= bound {
			s.totals.Delays[i]++
		}
	}
}

// Totals returns the sums since the start of the process.
func (s *ServingStats) Totals() ServingTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := s.totals
	totals.Delays = append([]uint64(nil), totals.Delays...)
	return totals
}
