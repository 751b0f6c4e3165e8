package admission

import "time"

const (
	// needWeight is the weight of the latest run in the mean number of inner calls, once a route has had 1/needWeight runs.
	// Runs of one route differ: some make no inner call.
	needWeight = 0.05
	// minNeed is the number of inner calls per run below which a route is not limited by a service.
	minNeed = 0.05
	// maxRoutes limits the number of routes with means. Beyond it all means are dropped and measured again.
	maxRoutes = 4096
)

// routeNeeds holds what the runs of one route need.
type routeNeeds struct {
	runs int
	// calls is the mean number of inner calls of a run by service.
	calls map[string]float64
	// duration is the mean time from admission to the end.
	duration time.Duration
}

// needs holds what the runs of each route need, learned from the runs at one gate.
type needs map[string]*routeNeeds

// of returns the mean number of inner calls per run of a route to a service, 0 if it is below minNeed.
func (n needs) of(route, service string) float64 {
	if r := n[route]; r != nil && r.calls[service] >= minNeed {
		return r.calls[service]
	}
	return 0
}

// duration returns the mean duration of the runs of a route, 0 if it is not known.
func (n needs) duration(route string) time.Duration {
	if r := n[route]; r != nil {
		return r.duration
	}
	return 0
}

// learn adds a run that has ended. A run that failed may have ended before its last inner calls, so it only raises the
// means.
func (n needs) learn(run *Run, succeeded bool, now time.Time) {
	r := n[run.route]
	if r == nil {
		if !succeeded && len(run.begun) == 0 {
			return
		}
		if len(n) >= maxRoutes {
			clear(n)
		}
		r = &routeNeeds{calls: map[string]float64{}}
		n[run.route] = r
	}
	r.runs++
	weight := max(needWeight, 1/float64(r.runs))
	for service := range run.begun {
		if _, known := r.calls[service]; !known {
			r.calls[service] = 0
		}
	}
	for service, mean := range r.calls {
		count := float64(run.begun[service])
		if succeeded || count > mean {
			r.calls[service] = mean + weight*(count-mean)
		}
	}
	if succeeded {
		r.duration += time.Duration(weight * float64(now.Sub(run.began)-r.duration))
	}
}
