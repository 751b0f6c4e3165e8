package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/placement"
	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

const (
	// refusalsLate is the number of gates that may refuse a call which asks for a late answer too. The first of them lets in
	// a third to a half of the calls, the second one in six. Before them one gate is asked for an answer in time: gates of
	// one service fill together, and on the days of high load one call in a hundred that the first gate refused was let in
	// in time by a second one, on the others one in ten.
	refusalsLate = 2
	// latePart is the part of the time left to the deadline for which a call that misses its objective may still wait, up
	// to its objective once more. A caller that is refused by then can come back within its own deadline. Longer queues
	// serve no more calls; at gates whose backend servers are called by others' backend servers they hold those calls up
	// too, whose own callers keep their slots meanwhile, and an overload of a few seconds then never ended.
	latePart = 0.5
	// objectiveMargin is the part of the objective that is kept free when a call waits: the time of a call at the backend
	// server is spread widely around its mean.
	objectiveMargin = 0.25
	// leastRetryAfter and mostRetryAfter bound the time after which a refused caller is asked to come back.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)

// trip is one call on its way through this node. It belongs to the goroutine of the call.
type trip struct {
	ingress *Ingress
	table   *routing.Table
	route   *routing.Route
	call    *calls.Call
	arrived time.Time
	service string
	config  *apiv1.ServiceConfig

	tried map[string]bool
	// sends counts the backend servers that the call was sent to and may have run on.
	sends int
	// late is set once the call asks for an answer after its objective too; lateRefusals counts the refusals since then.
	late         bool
	lateRefusals int
	// inTime is the backend server whose gate refused an answer in time; it is asked for a late one if no other is left.
	inTime string
	// retryAfter is the shortest time after which a gate would have let the call in.
	retryAfter time.Duration
	last       *calls.Result
	// history holds what came of each attempt, for the log.
	history attempts
}

// run carries the call until there is an answer or none is to be had.
func (t *trip) run(ctx context.Context) (*exchange.Response, *refusal) {
	service := t.table.Service(t.service)
	if service == nil {
		return nil, notRun("service "+t.service+" is not configured", leastRetryAfter)
	}
	if t.condemned() {
		return nil, notRun("this request has crashed backend servers", 0)
	}
	t.config = service.Config
	servers := t.ingress.drawVersion(service)
	t.tried = map[string]bool{}
	t.late = t.ingress.pressure.pressed(t.service, t.arrived)
	t.ingress.budget.first(t.service, t.arrived)
	ctx, cancel := context.WithDeadline(ctx, t.call.Deadline)
	defer cancel()
	for {
		server := t.choose(servers)
		if server == nil {
			return nil, t.refused()
		}
		result := t.send(ctx, server)
		switch result.Outcome {
		case calls.Answered:
			if !t.repeatFailure(result) {
				return t.answered(result)
			}
		case calls.NotRun:
			if bad := t.refusedBy(ctx, server, result); bad != nil {
				return nil, bad
			}
		case calls.Expired:
			return nil, expired()
		case calls.Canceled:
			return nil, unknown("the caller left")
		default:
			t.reportBroken(ctx, server)
			if !t.repeatUnknown(ctx) {
				return nil, unknown("no whole answer came from the backend server: " + result.Detail)
			}
		}
	}
}

// choose returns the backend server to try next, nil when the call is to be refused.
func (t *trip) choose(servers []*routing.Server) *routing.Server {
	if t.lateRefusals >= refusalsLate {
		return nil
	}
	server := t.best(servers)
	if server == nil && t.inTime != "" {
		// The gate had no room in time; it may have some for a late answer.
		delete(t.tried, t.inTime)
		t.inTime = ""
		server = t.best(servers)
	}
	return server
}

// best returns the backend server at which the answer is expected first, nil when all were tried.
func (t *trip) best(servers []*routing.Server) *routing.Server {
	options := &t.ingress.options
	index := placement.Choose(t.candidates(servers), t.route.Settings.Objective, options.Random, options.Now())
	if index < 0 {
		return nil
	}
	return servers[index]
}

func (t *trip) candidates(servers []*routing.Server) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = placement.Candidate{
			Stats: server.Stats,
			Local: server.Info.FailureDomain == t.ingress.options.FailureDomain,
			Tried: t.tried[server.Info.Instance],
		}
	}
	return candidates
}

// patience is the time by which an answer must be expected for the call to wait at a gate.
func (t *trip) patience() time.Time {
	if !t.late {
		margin := time.Duration(objectiveMargin * float64(t.route.Settings.Objective))
		return earlier(t.call.Objective.Add(-margin), t.call.Deadline)
	}
	now := t.ingress.options.Now()
	return now.Add(min(t.route.Settings.Objective, time.Duration(latePart*float64(t.call.Deadline.Sub(now)))))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// send hands the call to the gate beside a backend server.
func (t *trip) send(ctx context.Context, server *routing.Server) *calls.Result {
	info := server.Info
	server.Stats.Begin(t.ingress.options.Now())
	var result *calls.Result
	if info.Node == t.ingress.options.Instance {
		result = t.ingress.options.Gate.Pass(ctx, t.call, info.Instance, t.patience())
	} else {
		result = t.ingress.peers.pass(ctx, t.call, info.GateAddr, info.Instance, t.patience())
	}
	server.Stats.End(result, t.ingress.options.Now())
	t.last = result
	t.guard(server, result)
	if result.Outcome != calls.NotRun || result.Reason == calls.ReasonShed {
		t.sends++
	}
	t.tried[info.Instance] = true
	t.history = append(t.history, attempt{info.Instance, result})
	if result.Outcome != calls.Answered && result.Reason != calls.ReasonFull {
		t.ingress.options.Logger.Info().Str("request_id", t.call.ID).Str("route", t.call.Route).Str("service", t.service).
			Str("backend_server", info.Instance).Str("node", info.Node).Uint64("version", t.table.Snapshot.Version).
			Str("fate", string(result.Outcome)).Str("reason", string(result.Reason)).Str("detail", result.Detail).
			Int("sends", t.sends).Int("refusals", t.history.refusals()).Bool("late", t.late).Interface("load", result.Load).
			Dur("retry_after_ms", result.RetryAfter).Dur("left_ms", t.call.Deadline.Sub(t.ingress.options.Now())).
			Msg("attempt without an answer")
	}
	return result
}

// guard lets the node's own breaker see the outcome of a call to a version that is being moved to or from.
func (t *trip) guard(server *routing.Server, result *calls.Result) {
	switch result.Outcome {
	case calls.Answered:
		t.ingress.guard.Record(t.ingress.options.Now(), t.config, server.Info.Version, result.Response.Status >= http.StatusInternalServerError)
	case calls.Unknown, calls.Expired:
		t.ingress.guard.Record(t.ingress.options.Now(), t.config, server.Info.Version, true)
	}
}

// answered is the end of a call with an answer.
func (t *trip) answered(result *calls.Result) (*exchange.Response, *refusal) {
	if suspects := t.ingress.options.Suspects; suspects != nil && suspects.Active() && result.Response.Status < http.StatusInternalServerError {
		suspects.Completed(t.service, t.fingerprint())
	}
	return result.Response, nil
}

// repeatFailure reports whether a call that a backend server answered with a failure of its own is sent again.
func (t *trip) repeatFailure(result *calls.Result) bool {
	switch result.Response.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
	default:
		return false
	}
	if result.Response.Rest != nil || !t.mayRepeat() {
		return false
	}
	return t.call.Idempotent && t.ingress.budget.repeat(t.service, t.ingress.options.Now())
}

// repeatUnknown reports whether a call that may have run is sent again.
func (t *trip) repeatUnknown(ctx context.Context) bool {
	if !t.call.Idempotent || ctx.Err() != nil || !t.mayRepeat() || t.condemned() {
		return false
	}
	return t.ingress.budget.repeat(t.service, t.ingress.options.Now())
}

// mayRepeat reports whether one more backend server may get the call.
func (t *trip) mayRepeat() bool {
	return t.call.Resendable() && t.sends < max(t.route.Settings.Attempts, 1)
}

// refusedBy goes on after a call was not run. It returns the final answer if there is nothing more to try.
func (t *trip) refusedBy(ctx context.Context, server *routing.Server, result *calls.Result) *refusal {
	if ctx.Err() != nil {
		return t.ended(ctx)
	}
	if !t.call.Resendable() {
		return notRun("the call could not be handed to backend server "+server.Info.Instance, leastRetryAfter)
	}
	switch result.Reason {
	case calls.ReasonFull:
		if !t.late {
			t.inTime = server.Info.Instance
			t.ingress.pressure.refused(t.service, t.ingress.options.Now())
		}
		t.countRefusal()
		if t.retryAfter == 0 || result.RetryAfter < t.retryAfter {
			t.retryAfter = result.RetryAfter
		}
	case calls.ReasonShed:
		if !t.mayRepeat() || !t.ingress.budget.repeat(t.service, t.ingress.options.Now()) {
			return t.refused()
		}
		t.countRefusal()
	}
	return nil
}

// countRefusal turns to asking for late answers, or counts a refusal of one.
func (t *trip) countRefusal() {
	if t.late {
		t.lateRefusals++
	}
	t.late = true
}

// ended is the answer to a call whose context ended before it ran.
func (t *trip) ended(ctx context.Context) *refusal {
	if context.Cause(ctx) == context.DeadlineExceeded || t.mayHaveRun() {
		return expired()
	}
	return notRun("the caller left", leastRetryAfter)
}

// refused is the answer to a call that found no backend server.
func (t *trip) refused() *refusal {
	if t.mayHaveRun() {
		return unknown("no whole answer came from a backend server, and no other has room")
	}
	after := min(max(t.retryAfter, leastRetryAfter), mostRetryAfter)
	if t.last == nil {
		return notRun("service "+t.service+" has no ready backend server", after)
	}
	return notRun("service "+t.service+" has no room: "+string(t.last.Reason), after)
}

// mayHaveRun reports whether an attempt may have run: then the caller must not be told that none has.
func (t *trip) mayHaveRun() bool {
	return slices.ContainsFunc(t.history, func(a attempt) bool { return a.result.Outcome != calls.NotRun })
}

func (t *trip) fingerprint() suspect.Fingerprint {
	return suspect.NewFingerprint(t.call.Route, t.call.Method, t.call.Host+t.call.Target, t.call.Body)
}

// condemned reports whether the request has crashed too many backend servers.
func (t *trip) condemned() bool {
	suspects := t.ingress.options.Suspects
	return suspects != nil && suspects.Active() && suspects.Condemned(t.service, t.fingerprint())
}

// reportBroken tells the other nodes if the backend server died with the call in flight, before the caller can send
// it again.
func (t *trip) reportBroken(ctx context.Context, server *routing.Server) {
	if suspects := t.ingress.options.Suspects; suspects != nil {
		suspects.Broken(ctx, t.service, t.fingerprint(), server)
	}
}
