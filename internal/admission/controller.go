package admission

import (
	"strings"
	"sync"
	"time"
)

const (
	// starvationShare is the share of a limit that calls of each rank get although calls of higher ranks fill it.
	starvationShare = 0.1
	// defaultRetryAfter is the time after which a refused caller may retry while no run of the route has ended.
	defaultRetryAfter = 100 * time.Millisecond
)

// Controller admits the outer calls of a gate by the room of the services that their runs call. Both the gate and the
// ingress of a node use it: calls of the backend server arrive at the ingress beside its gate, so one node sees the run, its
// inner calls and the answers of the inner service's gates, without messages of its own. It is safe for concurrent use. All
// methods of a nil Controller admit and record nothing.
//
// Load pattern: the runs of a large service call a small one, which is full before the large one is. A run whose inner call
// finds no room fails after it has used its slots, and its caller sends it again, so the work of both services is thrown
// away while the load rises. An outer call is refused before it runs if the expected inner calls of its run do not fit
// beside those of the runs in flight. Calls of a higher rank do not make room for those of a lower one; a higher rank is a
// higher priority, then a smaller need of the scarce service.
//
// A limit is in force only while reports say that the service is full; it grows again by itself as they fall or stop.
type Controller struct {
	options Options

	mu     sync.Mutex
	runs   map[string]*Run
	needs  needs
	limits map[string]*limit
}

// NewController returns a controller that has learned nothing: it admits every call.
func NewController(options Options) *Controller {
	return &Controller{options: options, runs: map[string]*Run{}, needs: needs{}, limits: map[string]*limit{}}
}

// Admit decides on an outer call and, if it is admitted, returns its run. End must follow then.
func (c *Controller) Admit(id, route string, priority int, now time.Time) (*Run, Decision) {
	if c == nil {
		return nil, Decision{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	run := &Run{id: id, route: route, priority: priority, began: now}
	for service, l := range c.limits {
		need := c.needs.of(route, service)
		if need == 0 {
			continue
		}
		c.adapt(service, l, now)
		if excess := c.excess(run, service, need, l); excess > 0 {
			c.options.Metrics.countRefusal(service)
			return nil, Decision{Service: service, RetryAfter: c.retryAfter(route, service, excess)}
		}
	}
	c.runs[id] = run
	return run, Decision{}
}

// Begin returns the run of an inner call, which is always admitted. End must follow.
func (c *Controller) Begin(id, route string, priority int, now time.Time) *Run {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	run := &Run{id: id, route: route, priority: priority, began: now}
	c.runs[id] = run
	return run
}

// End records the end of a run. Ran is set if the backend server has got the call, and succeeded if it has answered it
// without an error.
func (c *Controller) End(run *Run, ran, succeeded bool, now time.Time) {
	if run == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[run.id] == run {
		delete(c.runs, run.id)
	}
	if ran {
		c.needs.learn(run, succeeded, now)
	}
}

// Parent returns the run in flight that made the call with the given request ID, nil if the call is not an inner call.
func (c *Controller) Parent(id string) *Run {
	if c == nil || c.options.IDSeparator == "" {
		return nil
	}
	end := strings.LastIndex(id, c.options.IDSeparator)
	if end <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id[:end]]
}

// BeginInner records that a run calls a service. EndInner must follow.
func (c *Controller) BeginInner(parent *Run, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if parent.begun == nil {
		parent.begun, parent.inFlight = map[string]int{}, map[string]int{}
	}
	parent.begun[service]++
	parent.inFlight[service]++
	if c.limits[service] == nil {
		c.limits[service] = newLimit()
	}
}

// EndInner records the end of a run's call to a service.
func (c *Controller) EndInner(parent *Run, service string, answer Answer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parent.inFlight[service]--
	parent.lost = parent.lost || !answer.Served
	c.options.Metrics.countInner(answer)
	l := c.limits[service]
	switch {
	case answer.NoRoom:
		l.report(maxPressure, now)
	case answer.Pressure > 0:
		l.report(answer.Pressure, now)
	default:
		return
	}
	c.adapt(service, l, now)
}

// LostInner reports whether an inner call of the run has ended without a response.
func (c *Controller) LostInner(run *Run) bool {
	if run == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return run.lost
}

// adapt adapts the limit of a service and reports when one begins or ends.
func (c *Controller) adapt(service string, l *limit, now time.Time) {
	before := l.active()
	committed := c.committed(service, nil)
	l.adapt(committed, now)
	if after := l.active(); after != before {
		c.options.Metrics.setLimited(service, after)
		if c.options.LimitChanged != nil {
			c.options.LimitChanged(service, after, l.current(now), committed)
		}
	}
}

// excess returns by how many expected inner calls the run exceeds the limit of a service, 0 if it fits.
func (c *Controller) excess(run *Run, service string, need float64, l *limit) float64 {
	if !l.active() {
		return 0
	}
	excess := c.committed(service, func(other *Run) bool { return c.compareRank(other, run, service) <= 0 }) + need - l.size
	if excess <= 0 {
		return 0
	}
	ownRank := c.committed(service, func(other *Run) bool { return c.compareRank(other, run, service) == 0 })
	if ownRank == 0 || ownRank+need <= starvationShare*l.size {
		return 0
	}
	return excess
}

// compareRank compares the ranks of two runs that share the room of a service. A negative result means that a ranks higher.
func (c *Controller) compareRank(a, b *Run, service string) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	if a.route == b.route {
		return 0
	}
	needA, needB := c.needs.of(a.route, service), c.needs.of(b.route, service)
	switch {
	case needA < needB:
		return -1
	case needA > needB:
		return 1
	}
	return 0
}

// committed returns the number of expected inner calls to a service of the runs in flight that the filter selects. A nil
// filter selects all.
func (c *Controller) committed(service string, selects func(run *Run) bool) float64 {
	sum := 0.0
	for _, run := range c.runs {
		if selects == nil || selects(run) {
			sum += run.expectedCalls(service, c.needs.of(run.route, service))
		}
	}
	return sum
}

// retryAfter returns the time in which the given number of expected inner calls of runs in flight end.
func (c *Controller) retryAfter(route, service string, excess float64) time.Duration {
	duration := c.needs.duration(route)
	if duration <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(min(excess/max(c.committed(service, nil), 1), 1) * float64(duration))
}
