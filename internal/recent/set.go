// Package recent remembers the latest of many values in bounded memory.
package recent

import "sync"

// Set holds the latest distinct values that were added, between its capacity and twice as many. It is safe for concurrent use.
type Set[V comparable] struct {
	capacity int

	mu sync.Mutex
	// Once newer is full it replaces older.
	newer, older map[V]struct{}
}

// NewSet returns an empty set.
func NewSet[V comparable](capacity int) *Set[V] {
	return &Set[V]{capacity: capacity, newer: map[V]struct{}{}}
}

// Add adds a value.
func (s *Set[V]) Add(value V) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.newer[value]; known {
		return
	}
	if len(s.newer) >= s.capacity {
		s.newer, s.older = map[V]struct{}{}, s.newer
	}
	s.newer[value] = struct{}{}
}

// Contains reports whether the set holds a value.
func (s *Set[V]) Contains(value V) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, newer := s.newer[value]
	_, older := s.older[value]
	return newer || older
}
