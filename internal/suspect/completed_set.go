package suspect

import "sync"

// maxCompleted bounds each of the two generations of a completedSet.
const maxCompleted = 2048

// completedRun is a request that has completed at a version of its service.
type completedRun struct {
	key
	version string
}

// completedSet remembers the latest requests that have completed, before it is known whether any of them is suspect. It is safe
// for concurrent use.
type completedSet struct {
	mu sync.Mutex
	// Once newer is full it replaces older, so that between maxCompleted and twice as many requests are remembered.
	newer, older map[completedRun]struct{}
}

func (s *completedSet) add(run completedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.newer[run]; known {
		return
	}
	if s.newer == nil || len(s.newer) == maxCompleted {
		s.newer, s.older = map[completedRun]struct{}{}, s.newer
	}
	s.newer[run] = struct{}{}
}

func (s *completedSet) contains(run completedRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, newer := s.newer[run]
	_, older := s.older[run]
	return newer || older
}
