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
func (t *LatencyMeans) ForRoute(route string) time.Duration {
	if mean, ok := t.byRoute[route]; ok {
		return mean
	}
	return t.Overall()
}

// Overall returns the mean latency of all calls.
func (t *LatencyMeans) Overall() time.Duration {
	if t.overall == 0 {
		return initialMean
	}
	return t.overall
}

// Observe adds the latency of one call to the means.
func (t *LatencyMeans) Observe(route string, latency time.Duration) {
	if len(t.byRoute) > maxRoutes {
		clear(t.byRoute)
	}
	t.byRoute[route] = updateEWMA(t.byRoute[route], latency)
	t.overall = updateEWMA(t.overall, latency)
}

// updateEWMA returns the moving average after one more value. The first value becomes the average.
func updateEWMA(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(ewmaWeight*float64(newest-mean))
}
