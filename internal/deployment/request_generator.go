package deployment

import "sync/atomic"

// requestGenerator generates the requests of the callers in one failure domain.
type requestGenerator struct {
	domain string
	routes []Route
	// nodes holds the caller addresses of the nodes in the failure domain.
	nodes      []string
	lastNumber atomic.Uint64
}

// next returns the next request and its number. It cycles through the routes.
func (g *requestGenerator) next() (*request, uint64) {
	number := g.lastNumber.Add(1)
	route := g.routes[number%uint64(len(g.routes))]
	return newRequest(route, g.domain, number), number
}
