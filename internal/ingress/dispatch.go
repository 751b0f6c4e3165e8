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
	// maxLateRefusals is the number of late attempts that may be refused before the call is refused. The first late attempt
	// admits a third to a half of the calls, the second one in six. Only one attempt on time is made before them, because
	// the gates of a service fill up together: a second gate admitted on time only one in a hundred of the calls that the
	// first had refused on days of high load, and one in ten on other days.
	maxLateRefusals = 2
	// maxColdRefusals is the number of refusals by gates of cold backend servers from which each counts like one of a full
	// backend server. The nodes learn of such a backend server with its first refusal, so most calls meet none.
	maxColdRefusals = 3
	// maxSlowRefusals is the number of gates that may pass a call on because their machine is slow at this moment before the
	// call gives up its objective. With 15% of the machines slow, three questions in a row meet slow ones only once in 300.
	maxSlowRefusals = 3
	// lateTimeShare is the share of the time left until the deadline within which a late attempt must be expected to
	// finish; the length of the route's objective limits it further. A caller that is refused by then can retry within its
	// own deadline. Longer queues serve no more calls. If backend servers of one service call another service, longer
	// queues at the second also keep slots of the first occupied; an overload of a few seconds then never ended.
	lateTimeShare = 0.5
	// objectiveMargin is the share of the objective that an attempt on time keeps in reserve when it waits, because the
	// latencies of backend servers vary widely around their mean.
	objectiveMargin = 0.25
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// resultGrace is the time after the deadline for which a node still waits for a gate to say whether the call has run. The
	// gate gives the backend server half of it to respond to the missed deadline itself; the rest is for the way back. A
	// caller whose call has not run may send it again, also if it must not run twice.
	resultGrace = 100 * time.Millisecond
)

// dispatch is the handling of one call by this node: it chooses backend servers, makes the attempts and decides on
// retries. It is used by the goroutine of the call only. overloadTracker explains attempts on time and late ones.
type dispatch struct {
	ingress *Ingress
	table   *routing.Table
	route   *routing.Route
	call    *calls.Call
	arrived time.Time
	service string
	config  *apiv1.ServiceConfig
	// suspect is the request as Suspects sees it, nil without Suspects.
	suspect *suspect.Request

	// tried holds the instance names of the backend servers that are not tried again.
	tried map[string]bool
	// sends counts the attempts that reached a backend server or may have.
	sends int
	// late is set once the call makes late attempts; lateRefusals counts their refusals.
	late         bool
	lateRefusals int
	// coldRefusals counts the refusals of gates whose backend servers are cold.
	coldRefusals int
	// slowRefusals counts the gates that passed the call on because their machine is slow at this moment.
	slowRefusals int
	// refusedOnTime is the backend server whose gate last refused an attempt on time. It gets a late one if no other is left.
	refusedOnTime string
	// retryAfter is the shortest time after which a gate would admit the call.
	retryAfter time.Duration
	last       *calls.Result
	// began is the beginning of the last attempt.
	began time.Time
	// attempts lists all attempts, for the decision on the call and for the log.
	attempts attemptList
}

// run makes attempts until a backend server has responded or the call is refused or fails. The exchange with the backend
// server lasts until the deadline, or until the response has been read. The result of an attempt may arrive resultGrace after the
// deadline.
func (d *dispatch) run(ctx context.Context) (*exchange.Response, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, d.call.Deadline.Add(resultGrace))
	response, refused := d.makeAttempts(ctx)
	calls.CancelWhenRead(response, cancel)
	return response, refused
}

// makeAttempts makes attempts until a backend server has responded or the call is refused or fails.
func (d *dispatch) makeAttempts(ctx context.Context) (*exchange.Response, *refusal) {
	service := d.table.Service(d.service)
	if service == nil {
		return nil, notRun("service "+d.service+" is not configured", minRetryAfter)
	}
	d.config = service.Config
	if refused := d.holdSuspectBody(ctx); refused != nil {
		return nil, refused
	}
	servers, blocked := d.unblockedServers(service)
	if blocked {
		return nil, notRun("this request has crashed backend servers", 0)
	}
	d.tried = map[string]bool{}
	d.late = d.ingress.overloads.overloaded(d.service, d.arrived)
	d.ingress.retries.recordFirstSend(d.service, d.ingress.options.Gate.RepeatedShare(), d.table.ServerCount, d.arrived)
	for {
		if d.deadlinePassed() {
			return nil, d.deadlineRefusal()
		}
		server := d.nextServer(servers)
		if server == nil {
			return nil, d.finalRefusal()
		}
		result := d.send(ctx, server)
		switch result.Outcome {
		case calls.Answered:
			if !d.retryServerError(result) {
				d.reportCompleted(ctx, server, result.Response)
				return result.Response, nil
			}
		case calls.NotRun:
			if refused := d.handleRefusal(ctx, server, result); refused != nil {
				return nil, refused
			}
		case calls.Expired:
			return nil, expired()
		case calls.Canceled:
			return nil, unknown("the caller left")
		default:
			d.reportBroken(ctx, server)
			servers = d.withoutBlocked(servers)
			if len(servers) == 0 || !d.retryUnknown(ctx) {
				return nil, unknown("no whole answer came from the backend server: " + result.Detail)
			}
		}
	}
}

// nextServer returns the backend server for the next attempt, nil if the call is to be refused.
func (d *dispatch) nextServer(servers []*routing.Server) *routing.Server {
	if d.lateRefusals >= maxLateRefusals {
		return nil
	}
	server := d.bestServer(servers)
	if server == nil && d.refusedOnTime != "" {
		// The gate refused the attempt on time but may admit a late one.
		delete(d.tried, d.refusedOnTime)
		d.refusedOnTime = ""
		server = d.bestServer(servers)
	}
	return server
}

// bestServer returns the backend server that is expected to respond first, nil if all were tried.
func (d *dispatch) bestServer(servers []*routing.Server) *routing.Server {
	options := &d.ingress.options
	index := placement.Choose(d.candidates(servers), d.route.Settings.Objective, options.Random, options.Now())
	if index < 0 {
		return nil
	}
	return servers[index]
}

// candidates returns what placement compares of the given backend servers, in the same order.
func (d *dispatch) candidates(servers []*routing.Server) []placement.Candidate {
	candidates := make([]placement.Candidate, len(servers))
	for i, server := range servers {
		candidates[i] = placement.Candidate{
			Stats: server.Stats,
			Local: server.Info.FailureDomain == d.ingress.options.FailureDomain,
			Tried: d.tried[server.Info.Instance],

			LongResponse: d.call.LongResponse,
		}
	}
	return candidates
}

// finishBy returns the time by which the call must be expected to finish, or else it does not wait at a gate.
func (d *dispatch) finishBy() time.Time {
	if !d.late {
		margin := time.Duration(objectiveMargin * float64(d.route.Settings.Objective))
		return earlier(d.call.Objective.Add(-margin), d.call.Deadline)
	}
	now := d.ingress.options.Now()
	by := now.Add(min(d.route.Settings.Objective, time.Duration(lateTimeShare*float64(d.call.Deadline.Sub(now)))))
	if d.slowRefusals > 0 && by.Before(d.call.Objective) {
		// A gate passes on only calls that are to finish before their objective.
		return d.call.Objective
	}
	return by
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// send makes one attempt: it sends the call to the gate of a backend server and records the result.
func (d *dispatch) send(ctx context.Context, server *routing.Server) *calls.Result {
	info := server.Info
	began := d.ingress.options.Now()
	d.began = began
	server.Stats.Begin(began)
	d.call.Repeated = d.sends > 0
	var result *calls.Result
	if info.Node == d.ingress.options.Instance {
		result = d.ingress.options.Gate.Pass(ctx, d.call, info.Instance, d.finishBy())
	} else {
		result = d.ingress.peers.pass(ctx, d.call, info.GateAddr, info.Instance, d.finishBy())
	}
	if d.table.CallerLimits.InnerCalls && d.silent(result, began) {
		result.Reason = calls.ReasonSilent
	}
	server.Stats.End(result, d.ingress.options.Now())
	d.last = result
	d.recordForBreaker(server, result)
	if result.Outcome != calls.NotRun || result.Reason == calls.ReasonShed {
		d.sends++
	}
	d.tried[info.Instance] = true
	d.attempts = append(d.attempts, attempt{info.Instance, result})
	if result.Outcome != calls.Answered && result.Reason != calls.ReasonFull && result.Reason != calls.ReasonLink && result.Reason != calls.ReasonCold &&
		result.Reason != calls.ReasonSlow {
		d.ingress.options.Logger.Info().Str("request_id", d.call.ID).Str("route", d.call.Route).Str("service", d.service).
			Str("backend_server", info.Instance).Str("node", info.Node).Uint64("version", d.table.Snapshot.Version).
			Str("fate", string(result.Outcome)).Str("reason", string(result.Reason)).Str("detail", result.Detail).
			Int("sends", d.sends).Int("refusals", d.attempts.refusals()).Bool("late", d.late).Interface("load", result.Load).
			Dur("retry_after_ms", result.RetryAfter).Dur("left_ms", d.call.Deadline.Sub(d.ingress.options.Now())).
			Msg("attempt without an answer")
	}
	return result
}

// silent reports whether no answer came from the gate for as long as the objective, although it was due: at the deadline, or when
// a run gave up its inner call. A caller that leaves earlier says nothing, since the call may run.
func (d *dispatch) silent(result *calls.Result, began time.Time) bool {
	due := result.Outcome == calls.Expired || result.Outcome == calls.Canceled && d.call.Inner
	return due && result.Load == nil && d.ingress.options.Now().Sub(began) >= d.route.Settings.Objective
}

// recordForBreaker records the outcome of a call to the old or the new version of a move, for the circuit breaker that
// limits this node's calls to the new version. Canceled and refused calls are not recorded, nor runs
// that failed because an inner call did.
func (d *dispatch) recordForBreaker(server *routing.Server, result *calls.Result) {
	if result.Reason == calls.ReasonInnerFailed {
		return
	}
	switch result.Outcome {
	case calls.Answered:
		d.ingress.versionBreaker.Record(d.ingress.options.Now(), d.config, server.Info.Version, result.Response.Status >= http.StatusInternalServerError)
	case calls.Unknown, calls.Expired:
		d.ingress.versionBreaker.Record(d.ingress.options.Now(), d.config, server.Info.Version, true)
	}
}

// retryServerError reports whether a call is retried after the given response of a backend server. If so, it takes a
// retry from the budget.
func (d *dispatch) retryServerError(result *calls.Result) bool {
	switch result.Response.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
	default:
		return false
	}
	if result.Response.Rest != nil || !d.mayRetry() {
		return false
	}
	if result.Reason == calls.ReasonInnerFailed {
		// The run has retried its inner calls already. Sent again, it would make all of them again, and each counts as a
		// retry at the other service.
		return false
	}
	return d.call.Idempotent && d.ingress.retries.takeRetry(d.service, d.ingress.options.Now())
}

// retryUnknown reports whether a call that may have run is retried. If so, it takes a retry from the budget.
func (d *dispatch) retryUnknown(ctx context.Context) bool {
	if !d.call.Idempotent || ctx.Err() != nil || !d.mayRetry() {
		return false
	}
	return d.ingress.retries.takeRetry(d.service, d.ingress.options.Now())
}

// mayRetry reports whether the call can be sent again and the route allows one more attempt.
func (d *dispatch) mayRetry() bool {
	return d.call.Resendable() && !d.deadlinePassed() && d.sends < max(d.route.Settings.Attempts, 1)
}

// handleRefusal handles an attempt that did not run. It returns nil if another backend server may be tried, otherwise the
// refusal of the call.
func (d *dispatch) handleRefusal(ctx context.Context, server *routing.Server, result *calls.Result) *refusal {
	if ctx.Err() != nil {
		return d.contextEnded(ctx)
	}
	if !d.call.Resendable() {
		return notRun("the call could not be handed to backend server "+server.Info.Instance, minRetryAfter)
	}
	switch result.Reason {
	case calls.ReasonFull, calls.ReasonLink:
		if !d.late {
			d.refusedOnTime = server.Info.Instance
			if result.Reason == calls.ReasonFull {
				d.ingress.overloads.recordRefusal(d.service, d.ingress.options.Now())
			}
		}
		d.countRefusal()
		if d.retryAfter == 0 || result.RetryAfter < d.retryAfter {
			d.retryAfter = result.RetryAfter
		}
	case calls.ReasonInnerFull:
		d.retryAfter = result.RetryAfter
		return d.finalRefusal()
	case calls.ReasonCold:
		// Backend servers become cold together: after some refusals the call is not worth more time.
		if d.coldRefusals++; d.coldRefusals >= maxColdRefusals {
			d.countRefusal()
		}
		if d.retryAfter == 0 || result.RetryAfter < d.retryAfter {
			d.retryAfter = result.RetryAfter
		}
	case calls.ReasonSlow:
		d.slowRefusals++
		if !d.late {
			d.refusedOnTime = server.Info.Instance
		}
		d.late = d.late || d.slowRefusals >= maxSlowRefusals
	case calls.ReasonShed:
		if !d.mayRetry() || !d.ingress.retries.takeRetry(d.service, d.ingress.options.Now()) {
			return d.finalRefusal()
		}
		d.countRefusal()
	}
	return nil
}

// countRefusal counts the refused attempt if it was late. After the first refusal all attempts are late.
func (d *dispatch) countRefusal() {
	if d.late {
		d.lateRefusals++
	}
	d.late = true
}

// contextEnded returns the refusal of a call whose context ended during an attempt that did not run.
func (d *dispatch) contextEnded(ctx context.Context) *refusal {
	if context.Cause(ctx) == context.DeadlineExceeded || d.mayHaveRun() {
		return d.deadlineRefusal()
	}
	return notRun("the caller left", minRetryAfter)
}

// deadlinePassed reports whether the deadline of the call has passed.
func (d *dispatch) deadlinePassed() bool {
	return !d.ingress.options.Now().Before(d.call.Deadline)
}

// deadlineRefusal returns the refusal of a call whose deadline has passed after all its attempts have ended.
func (d *dispatch) deadlineRefusal() *refusal {
	if d.mayHaveRun() {
		return expired()
	}
	return notRun("the deadline passed before a backend server got the call", minRetryAfter)
}

// finalRefusal returns the refusal of a call for which no further attempt is made.
func (d *dispatch) finalRefusal() *refusal {
	if d.mayHaveRun() {
		return unknown("no whole answer came from a backend server, and no other has room")
	}
	after := min(max(d.retryAfter, minRetryAfter), maxRetryAfter)
	if d.last == nil {
		return notRun("service "+d.service+" has no ready backend server", after)
	}
	return notRun("service "+d.service+" has no room: "+string(d.last.Reason), after)
}

// mayHaveRun reports whether an attempt may have run. If so, the response must not say that the call has not run.
func (d *dispatch) mayHaveRun() bool {
	return slices.ContainsFunc(d.attempts, func(a attempt) bool { return a.result.Outcome != calls.NotRun })
}
