package deployment

import "sync/atomic"

// source makes the requests of one failure domain.
type source struct {
	domain string
	routes []Route
	// nodes lists the caller addresses of the domain's nodes.
	nodes  []string
	number atomic.Uint64
}

// next returns a request of the next route in turn, and its number.
func (s *source) next() (*request, uint64) {
	number := s.number.Add(1)
	route := s.routes[number%uint64(len(s.routes))]
	return newRequest(route, s.domain, number), number
}
