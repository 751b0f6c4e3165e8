package gate

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/admission"
	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/link"
	"samphireflow/internal/recent"
)

const (
	// dialTimeout bounds the opening of a connection to the backend server, which is on the same machine.
	dialTimeout = 100 * time.Millisecond
	// breakerOpenTime is the time for which the circuit breaker refuses all calls after a failed connection attempt. Then
	// it lets one trial call through and refuses the others for breakerTrialTime, in which the trial opens its connection.
	breakerOpenTime  = 200 * time.Millisecond
	breakerTrialTime = 2 * dialTimeout
	// defaultSlots is the number of slots of a backend server that announces none.
	defaultSlots = 10
	// repeatedWeight makes the share of retries follow about the last 20 runs, those of a second at a busy backend server.
	repeatedWeight = 0.05
	// refusedIDCapacity is the number of refused calls that a gate remembers at least: those of some seconds of overload.
	refusedIDCapacity = 1024
	// deadlineGrace is the time after the deadline for which the gate still waits for the backend server, which may respond
	// to the missed deadline itself.
	deadlineGrace = 50 * time.Millisecond
)

// Options configures a gate.
type Options struct {
	// LocalServer returns the current announcement of the backend server on this machine, nil if there is none.
	LocalServer func() *apiv1.BackendServer
	Headers     calls.Headers
	// CustomerWeight returns the weight of a customer when customers compete for slots, 0 if it has none; nil gives all
	// customers the same weight.
	CustomerWeight func(customer string) float64
	// Recorder counts the outcomes of the calls that were sent to the backend server.
	Recorder Recorder
	// ColdUntil returns the end of the coldness that the backend server announces; nil if it announces none.
	ColdUntil func() time.Time
	// Terms returns what the configuration says of a backend server; nil means that it says nothing.
	Terms func(server *apiv1.BackendServer) Terms
	// ColdOverrun and ColdSlack say how far the calls to a cold backend server may exceed its rate; see coldLimit.
	ColdOverrun, ColdSlack float64
	// Stop decides which calls of other nodes are taken during a planned stop of this node; nil takes all.
	Stop *calls.StopAdmission
	// Admission decides by the room of the services that runs call; nil admits every call.
	Admission *admission.Controller
	// Link is the network link of this instance, nil if its capacity is not known.
	Link   *link.Link
	Logger zerolog.Logger
	Now    func() time.Time
}

// Recorder counts outcomes by service, version and route; *outcome.Aggregator implements it. A broken call is one that
// ended without a complete response.
type Recorder interface {
	Record(service, version, route string, success, broken bool, duration time.Duration)
}

// Gate admits and forwards calls to the backend server on this machine. It is safe for concurrent use.
type Gate struct {
	options Options
	client  *exchange.Client

	// refusedIDs holds the hashes of the IDs of calls that were refused by the backend server, not by the gate. Callers choose how
	// long IDs are.
	refusedIDs *recent.Set[uint64]

	mu sync.Mutex
	// current is the incarnation of the backend server that the queue belongs to.
	current serverIncarnation
	queue   *Queue
	running runningCalls
	// nextTrial is the time from which the open circuit breaker lets the next trial call through.
	nextTrial time.Time
	// breakerOpen is set from the first failed connection attempt until the next response or the next incarnation.
	breakerOpen bool
	// repeatedShare is the share of retries among the latest runs, a mean that gives each run the weight repeatedWeight.
	repeatedShare float64
	cold          coldState
	pacedRefusals atomic.Uint64
	// shareRefusals counts the calls that were refused because their customer was over its share.
	shareRefusals atomic.Uint64
}

// serverIncarnation identifies one start of a backend server, with the address and version that it announced.
type serverIncarnation struct {
	instance    string
	incarnation uint64
	addr        string
	service     string
	version     string
}

// New returns a gate.
func New(options Options) *Gate {
	return &Gate{
		options: options, client: exchange.NewClient(dialTimeout), queue: NewQueue(defaultSlots),
		cold: coldState{pace: NewPace(options.Now())}, refusedIDs: recent.NewSet[uint64](refusedIDCapacity),
	}
}

// Load returns the current load of the backend server.
func (g *Gate) Load() calls.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() calls.Load {
	return calls.Load{Running: g.queue.Running(), Waiting: g.queue.Waiting(), Slots: g.queue.Slots(), Slowdown: g.queue.slowdown(g.options.Now()), LinkWait: g.options.Link.Wait()}
}

// RepeatedShare returns the share of retries among the latest runs, from 0 to 1.
func (g *Gate) RepeatedShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeatedShare
}

// recordRun updates the share of retries with a run that starts.
func (g *Gate) recordRun(c *calls.Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeated := 0.0
	if c.Repeated {
		repeated = 1
	}
	g.repeatedShare += repeatedWeight * (repeated - g.repeatedShare)
}

// Pass sends a call to the backend server with the given instance name as soon as a slot is free. The call waits for a
// slot only while its response is expected by finishBy, and keeps it until the response is complete or closed. If the context
// ends, the call is aborted.
func (g *Gate) Pass(ctx context.Context, c *calls.Call, instance string, finishBy time.Time) *calls.Result {
	result := g.pass(ctx, c, instance, finishBy)
	g.mu.Lock()
	load := g.load()
	if c.Inner {
		result.Pressure = g.queue.Pressure(c.Priority)
	}
	g.mu.Unlock()
	result.Load = &load
	return result
}

func (g *Gate) pass(ctx context.Context, c *calls.Call, instance string, finishBy time.Time) *calls.Result {
	server, refused := g.resolveServer(instance)
	if refused != nil {
		return refused
	}
	if refused := g.checkBreaker(); refused != nil {
		return refused
	}
	if refused := g.checkPace(false); refused != nil {
		return refused
	}
	run, refused := g.admitRun(c)
	if refused != nil {
		return refused
	}
	result := g.passAdmitted(ctx, c, server, finishBy, run)
	ran := result.Outcome != calls.NotRun
	succeeded := result.Outcome == calls.Answered && result.Response.Status < minServerErrorStatus
	g.options.Admission.End(run, ran, succeeded, g.options.Now())
	return result
}

// admitRun admits a call by the room of the services that its run will call, or refuses it. Inner calls are admitted.
func (g *Gate) admitRun(c *calls.Call) (*admission.Run, *calls.Result) {
	if c.Inner {
		return g.options.Admission.Begin(c.ID, c.Route, c.Priority, g.options.Now()), nil
	}
	run, decision := g.options.Admission.Admit(c.ID, c.Route, c.Priority, g.options.Now())
	if decision.Refused() {
		result := refusal(calls.ReasonInnerFull, "service "+decision.Service+", which the run would call, has no room")
		result.RetryAfter = decision.RetryAfter
		return nil, result
	}
	return run, nil
}

// passAdmitted waits for a slot and sends the call.
func (g *Gate) passAdmitted(ctx context.Context, c *calls.Call, server serverIncarnation, finishBy time.Time, run *admission.Run) *calls.Result {
	queue, decision := g.waitForSlot(ctx, c, server, finishBy)
	if decision.Action != Run {
		return g.queueRefusal(ctx, decision)
	}
	g.mu.Lock()
	g.running.add(c)
	g.mu.Unlock()
	// While the call waited, the backend server may have started to drain, or another instance may have replaced it.
	_, refused := g.resolveServer(server.instance)
	if refused == nil {
		refused = g.checkPace(true)
	}
	if refused != nil {
		g.release(queue, c, 0)
		return refused
	}
	g.recordRun(c)
	started := g.options.Now()
	slowdown := g.slowdown(queue)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(deadlineGrace))
	result := g.send(ctx, c, server, queue)
	calls.CancelWhenRead(result.Response, cancel)
	result.Latency = g.options.Now().Sub(started)
	if result.Outcome == calls.Answered && result.Response.Status >= minServerErrorStatus && g.options.Admission.LostInner(run) {
		result.Reason = calls.ReasonInnerFailed
	}
	g.recordOutcome(c, server, result)
	switch {
	case result.Outcome != calls.Answered:
		g.release(queue, c, 0)
	case result.Response.Rest != nil:
		// The backend server is still sending, so the call keeps its slot.
		result.Response.Rest = newSlotHolder(ctx, result.Response.Rest, func() {
			g.release(queue, c, atSlowdownOne(g.options.Now().Sub(started), slowdown))
		})
	default:
		g.release(queue, c, atSlowdownOne(result.Latency, slowdown))
	}
	return result
}

// recordOutcome counts the outcome, by which versions of a service are compared. Canceled and refused calls are not
// counted, because they say nothing about the version, nor are runs that failed because an inner call did.
func (g *Gate) recordOutcome(c *calls.Call, server serverIncarnation, result *calls.Result) {
	if result.Reason == calls.ReasonInnerFailed {
		return
	}
	switch result.Outcome {
	case calls.Answered:
		g.options.Recorder.Record(server.service, server.version, c.Route, result.Response.Status < minServerErrorStatus, false, result.Latency)
	case calls.Expired:
		g.options.Recorder.Record(server.service, server.version, c.Route, false, false, result.Latency)
	case calls.Unknown:
		g.options.Recorder.Record(server.service, server.version, c.Route, false, true, result.Latency)
	}
}

// refusal returns the result of a call that is refused.
func refusal(reason calls.Reason, detail string) *calls.Result {
	return &calls.Result{Outcome: calls.NotRun, Reason: reason, Detail: detail}
}

// resolveServer returns the current incarnation of the backend server, or a refusal if it is not the given instance, is
// draining or is in an evacuated failure domain. For a new incarnation it starts an empty queue, closes the circuit breaker
// and drops the connections to the previous incarnation.
func (g *Gate) resolveServer(instance string) (serverIncarnation, *calls.Result) {
	info := g.options.LocalServer()
	switch {
	case info == nil:
		return serverIncarnation{}, refusal(calls.ReasonMisdirected, "no backend server is announced beside this node")
	case info.Instance != instance:
		return serverIncarnation{}, refusal(calls.ReasonMisdirected, "backend server "+info.Instance+" is beside this node")
	case info.State != apiv1.ServerState_SERVER_STATE_READY:
		return serverIncarnation{}, refusal(calls.ReasonDraining, "the backend server is leaving")
	}
	terms := g.terms(info)
	if terms.Evacuated {
		return serverIncarnation{}, refusal(calls.ReasonEvacuated, "failure domain "+info.FailureDomain+" is evacuated")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	announced := serverIncarnation{info.Instance, info.Incarnation, info.Addr, info.Service, info.Version}
	if announced != g.current {
		if g.current.addr != "" {
			g.client.CloseIdle(g.current.addr)
		}
		g.current = announced
		g.breakerOpen, g.nextTrial = false, time.Time{}
		slots := int(info.Slots)
		if slots == 0 {
			slots = defaultSlots
		}
		g.queue = NewQueue(slots)
		// Its own announcements say how long it is cold.
		g.cold.reported, g.cold.suspected = time.Time{}, time.Time{}
	}
	g.noteTerms(terms)
	return announced, nil
}

// checkBreaker refuses calls while the circuit breaker is open, except for one trial call from time to time.
func (g *Gate) checkBreaker() *calls.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.breakerOpen {
		return nil
	}
	now := g.options.Now()
	if now.Before(g.nextTrial) {
		return refusal(calls.ReasonUnreachable, "the backend server took no connection a moment ago")
	}
	g.nextTrial = now.Add(breakerTrialTime)
	return nil
}

// closeBreaker closes the circuit breaker after a response of the backend server.
func (g *Gate) closeBreaker() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breakerOpen = false
}

// waitForSlot waits until the queue decides on the call or finishBy passes. If the decision is Run, the call holds a slot
// of the returned queue.
func (g *Gate) waitForSlot(ctx context.Context, c *calls.Call, server serverIncarnation, finishBy time.Time) (*Queue, Decision) {
	entry := &Entry{Route: c.Route, Customer: c.Customer, Inner: c.Inner, Weight: g.customerWeight(c.Customer), Priority: c.Priority, Objective: c.Objective, FinishBy: finishBy, Deadline: c.Deadline}
	g.mu.Lock()
	queue := g.queue
	now := g.options.Now()
	decision := queue.Admit(entry, now)
	g.mu.Unlock()
	if decision.Action != Run {
		g.displaceStalled()
	}
	if decision.Action != Wait {
		return queue, decision
	}
	timer := time.NewTimer(finishBy.Sub(now))
	defer timer.Stop()
	select {
	case decision = <-entry.decision:
		return queue, decision
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	removed := queue.Cancel(entry)
	g.mu.Unlock()
	if removed {
		return queue, Decision{Action: Refuse, RetryAfter: minRetryAfter}
	}
	return queue, <-entry.decision
}

// customerWeight returns the weight of a customer, 0 if it has none.
func (g *Gate) customerWeight(name string) float64 {
	if name == "" || g.options.CustomerWeight == nil {
		return 0
	}
	return g.options.CustomerWeight(name)
}

// queueRefusal returns the result of a call that got no slot.
func (g *Gate) queueRefusal(ctx context.Context, decision Decision) *calls.Result {
	if ctx.Err() != nil {
		return refusal(calls.ReasonCanceled, "the caller left while the call waited")
	}
	result := refusal(calls.ReasonFull, "the call would wait for longer than it can")
	if decision.OverShare {
		g.shareRefusals.Add(1)
		result.Detail = "the customer has more than its share while others wait"
	}
	if decision.Slow {
		result = refusal(calls.ReasonSlow, "the machine is too slow for the call at this moment")
	}
	result.RetryAfter = decision.RetryAfter
	return result
}

// observeLoad takes in what the backend server reports of its machine in a response.
func (g *Gate) observeLoad(queue *Queue, response *exchange.Response) {
	if load, ok := calls.ParseLoad(response.Header.Get(g.options.Headers.Load)); ok && load.Slowdown > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		queue.observeLoad(load, g.options.Now())
	}
}

// slowdown returns the slowdown of the backend server, 0 if it does not tell it.
func (g *Gate) slowdown(queue *Queue) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return queue.slowdown(g.options.Now())
}

// atSlowdownOne returns what the latency of a call would have been without the slowdown with which it began, 0 if that is
// not known. The speed of the machine at the start of a run holds for the whole run.
func atSlowdownOne(latency time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return latency
	}
	return time.Duration(float64(latency) / slowdown)
}

// release frees the slot of a call. A latency of 0 is not counted in the queue's mean latencies; others are those of a
// slowdown of 1.
func (g *Gate) release(queue *Queue, c *calls.Call, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running.remove(c)
	if c.Inner {
		queue.ReleaseInner(c.Route, latency, g.options.Now())
		return
	}
	queue.Release(c.Route, latency, g.options.Now())
}

// send sends the call to the backend server and returns the result. The end of the context aborts the exchange, also while the
// rest of a long response is read.
func (g *Gate) send(ctx context.Context, c *calls.Call, server serverIncarnation, queue *Queue) *calls.Result {
	response, err := g.client.Do(ctx, server.addr, g.request(c, server, g.options.Now()))
	if err != nil {
		return g.exchangeFailure(ctx, err)
	}
	g.closeBreaker()
	g.readCold(response.Header)
	g.observeLoad(queue, response)
	result := g.classify(response)
	if result.Outcome == calls.NotRun {
		g.refusedIDs.Add(xxhash.Sum64String(c.ID))
	}
	return result
}

// request returns the request to the backend server, with the time that is left until the deadline.
func (g *Gate) request(c *calls.Call, server serverIncarnation, now time.Time) *exchange.Request {
	names := g.options.Headers
	header := c.Header.Clone()
	header.Set(names.DeadlineMs, strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 1), 10))
	header.Set(names.TargetServer, server.instance)
	request := c.Request(header, names.RequestID)
	// The backend server may write an earlier refusal again, which only the ID tells from the response.
	request.NewConn = c.ID == "" || g.refusedIDs.Contains(xxhash.Sum64String(c.ID))
	return request
}

// exchangeFailure returns the result of a call whose exchange with the backend server failed. A failed connection attempt
// opens the circuit breaker.
func (g *Gate) exchangeFailure(ctx context.Context, err error) *calls.Result {
	switch {
	case errors.Is(err, context.Canceled) && errors.Is(err, exchange.ErrNotSent):
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonCanceled, Detail: err.Error()}
	case errors.Is(err, context.Canceled):
		return &calls.Result{Outcome: calls.Canceled, Reason: calls.ReasonCanceled, Detail: err.Error()}
	case errors.Is(err, exchange.ErrNotSent) && ctx.Err() != nil:
		// The deadline passed before a connection was open, which says nothing about the backend server.
		return refusal(calls.ReasonDeadline, err.Error())
	case errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, exchange.ErrNotSent):
		return &calls.Result{Outcome: calls.Expired, Reason: calls.ReasonDeadline, Detail: err.Error()}
	case errors.Is(err, exchange.ErrNotSent):
		g.mu.Lock()
		g.breakerOpen, g.nextTrial = true, g.options.Now().Add(breakerOpenTime)
		g.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.noteRefusedConnection()
		}
		return refusal(calls.ReasonUnreachable, err.Error())
	}
	return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: err.Error()}
}

// classify distinguishes a response of the backend server to the call from a refusal and from a response that cannot be
// the backend server's own.
func (g *Gate) classify(response *exchange.Response) *calls.Result {
	names := g.options.Headers
	switch {
	case response.Header.Get(names.NotRun) != "":
		closeRest(response)
		return refusal(calls.ReasonShed, "the backend server refused with status "+strconv.Itoa(response.Status))
	case response.Status == statusMisdirected:
		closeRest(response)
		return refusal(calls.ReasonMisdirected, "another backend server has the address")
	case response.Header.Get("Content-Encoding") != "":
		return discardResponse(response, "the answer is encoded, which nobody asked for")
	case names.Stamp != "" && response.Status < 300 && response.Header.Get(names.Stamp) == "":
		return discardResponse(response, "the answer does not bear the backend server's stamp")
	}
	return &calls.Result{Outcome: calls.Answered, Response: response}
}

// statusMisdirected is sent by a backend server that is not the one that the request names (RFC 9110, section 15.5.20).
const statusMisdirected = 421

// minServerErrorStatus is the lowest status that counts as an error of the backend server.
const minServerErrorStatus = 500

// discardResponse closes the response and returns the result of a call whose outcome is unknown.
func discardResponse(response *exchange.Response, detail string) *calls.Result {
	closeRest(response)
	return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: detail}
}

// closeRest ends the exchange of a response of which nothing more is wanted, so that its connection does not stay open.
func closeRest(response *exchange.Response) {
	if response.Rest != nil {
		// The error is of no use, since the response is discarded.
		_ = response.Rest.Close()
	}
}
