package gate

import "time"

const (
	// ewmaWeight is the weight of the newest call in an exponentially weighted moving average.
	ewmaWeight = 0.1
	// initialMean is the expected latency before any call has ended.
	initialMean = 100 * time.Millisecond
	// maxRoutes limits the number of routes with a mean of their own. Beyond it the means of all routes are dropped and
	// measured again.
	maxRoutes = 4096
)

// LatencyMeans holds moving averages of the latency of calls at the backend server.
type LatencyMeans struct {
	byRoute map[string]time.Duration
	overall time.Duration
}

// NewLatencyMeans returns means over no calls.
func NewLatencyMeans() *LatencyMeans {
	return &LatencyMeans{byRoute: map[string]time.Duration{}}
}

// ForRoute returns the mean latency of a route, or that of all calls if the route has none.
func (m *LatencyMeans) ForRoute(route string) time.Duration {
	if mean, ok := m.byRoute[route]; ok {
		return mean
	}
	return m.Overall()
}

// Overall returns the mean latency of all calls.
func (m *LatencyMeans) Overall() time.Duration {
	if m.overall == 0 {
		return initialMean
	}
	return m.overall
}

// Observe adds the latency of one call to the means.
func (m *LatencyMeans) Observe(route string, latency time.Duration) {
	if len(m.byRoute) > maxRoutes {
		clear(m.byRoute)
	}
	m.byRoute[route] = updateEWMA(m.byRoute[route], latency)
	m.overall = updateEWMA(m.overall, latency)
}

// updateEWMA returns the moving average after one more value. The first value becomes the average.
func updateEWMA(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(ewmaWeight*float64(newest-mean))
}
