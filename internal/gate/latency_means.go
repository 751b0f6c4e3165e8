package gate

import (
	"time"

	"samphireflow/internal/slowdown"
)

const (
	// ewmaWeight is the weight of the newest call in an exponentially weighted moving average.
	ewmaWeight = 0.1
	// initialMean is the expected latency before any call has ended.
	initialMean = 100 * time.Millisecond
	// maxRoutes limits the number of routes with a mean of their own. Beyond it the means of all routes are dropped and
	// measured again.
	maxRoutes = 4096
)

// LatencyMeans holds moving averages of the latency of calls at the backend server. If the backend server tells its slowdown,
// the averages are those of a slowdown of 1, and expected latencies are those of this moment.
//
// Load pattern: 15% of the machines take 2.5 times as long for some 600 ms at a time. An average over the last ten calls
// follows that too late, and a call that began in such a time makes the next ones look slow.
type LatencyMeans struct {
	machine slowdown.Estimator
	byRoute map[string]time.Duration
	overall time.Duration
}

// NewLatencyMeans returns means over no calls.
func NewLatencyMeans() *LatencyMeans {
	return &LatencyMeans{byRoute: map[string]time.Duration{}}
}

// Expected returns the latency to be expected of a call that starts now: the mean of its route, or that of all calls if the
// route has none, times the slowdown.
func (m *LatencyMeans) Expected(route string, now time.Time) time.Duration {
	return m.slowed(m.forRoute(route), now)
}

// ExpectedOverall returns the latency to be expected of a call of any route that starts now.
func (m *LatencyMeans) ExpectedOverall(now time.Time) time.Duration {
	return m.slowed(m.allRoutes(), now)
}

// SlowedPast reports whether a call that starts now would end by the given time at the usual speed, but is expected to end
// after it at the speed of this moment.
func (m *LatencyMeans) SlowedPast(route string, by, now time.Time) bool {
	mean := m.forRoute(route)
	return m.machine.Known() && !now.Add(scale(mean, m.machine.Usual())).After(by) && now.Add(scale(mean, m.machine.At(now))).After(by)
}

// slowed returns a mean latency times the slowdown of this moment.
func (m *LatencyMeans) slowed(mean time.Duration, now time.Time) time.Duration {
	if !m.machine.Known() {
		return mean
	}
	return scale(mean, m.machine.At(now))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func (m *LatencyMeans) forRoute(route string) time.Duration {
	if mean, ok := m.byRoute[route]; ok {
		return mean
	}
	return m.allRoutes()
}

func (m *LatencyMeans) allRoutes() time.Duration {
	if m.overall == 0 {
		return initialMean
	}
	return m.overall
}

// Observe adds the latency of one call, divided by the slowdown with which it began, to the means.
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
