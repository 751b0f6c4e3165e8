package gate

import "time"

const (
	// timeWeight is the weight of the newest call in the running mean of a route.
	timeWeight = 0.1
	// firstTime stands for calls of which none has ended yet.
	firstTime = 100 * time.Millisecond
	// maxRoutes bounds the routes that are remembered; beyond it all are forgotten and learned anew.
	maxRoutes = 4096
)

// Times keeps running means of how long calls take at the backend server.
type Times struct {
	byRoute map[string]time.Duration
	mean    time.Duration
}

// NewTimes returns means without evidence.
func NewTimes() *Times {
	return &Times{byRoute: map[string]time.Duration{}}
}

// Of returns the mean of a route, or that of all where the route has none.
func (t *Times) Of(route string) time.Duration {
	if mean, ok := t.byRoute[route]; ok {
		return mean
	}
	return t.Mean()
}

// Mean returns the mean of all calls.
func (t *Times) Mean() time.Duration {
	if t.mean == 0 {
		return firstTime
	}
	return t.mean
}

// Note takes in the time of one call.
func (t *Times) Note(route string, took time.Duration) {
	if len(t.byRoute) > maxRoutes {
		clear(t.byRoute)
	}
	t.byRoute[route] = blend(t.byRoute[route], took)
	t.mean = blend(t.mean, took)
}

func blend(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(timeWeight*float64(newest-mean))
}
