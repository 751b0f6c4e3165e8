package gate

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
)

const (
	// dialTimeout bounds the opening of a connection to the backend server, which is on the same machine.
	dialTimeout = 100 * time.Millisecond
	// downTime is the time for which calls are refused after no connection could be opened. Then one call tries again, and
	// the others are refused for trialTime.
	downTime  = 200 * time.Millisecond
	trialTime = 2 * dialTimeout
	// defaultSlots stands for backend servers that announce no number of slots.
	defaultSlots = 10
	// answerGrace is the time beyond the deadline in which the backend server's own answer to it is waited for.
	answerGrace = 50 * time.Millisecond
)

// Options are what a gate is made of.
type Options struct {
	// LocalServer returns the announcement of the backend server beside this node, nil when there is none in force.
	LocalServer func() *apiv1.BackendServer
	Headers     calls.Headers
	// Recorder counts what the backend server made of the calls that it got.
	Recorder Recorder
	Logger   zerolog.Logger
	Now      func() time.Time
}

// Recorder counts outcomes by service, version and route; *outcome.Sum is one.
type Recorder interface {
	Record(service, version, route string, ok, broken bool, duration time.Duration)
}

// Gate passes calls to the backend server beside this node. It is safe for use by many goroutines.
type Gate struct {
	options Options
	client  *exchange.Client

	mu sync.Mutex
	// current is the start of the backend server that the queue is for.
	current start
	queue   *Queue
	// downUntil is the end of the time in which the backend server is taken for down.
	downUntil time.Time
	// down is set from the first failed connection to the next answer.
	down bool
}

// start names one start of a backend server.
type start struct {
	instance    string
	incarnation uint64
	addr        string
	service     string
	version     string
}

// New returns a gate.
func New(options Options) *Gate {
	return &Gate{options: options, client: exchange.NewClient(dialTimeout), queue: NewQueue(defaultSlots)}
}

// Load returns the present load.
func (g *Gate) Load() calls.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() calls.Load {
	return calls.Load{Running: g.queue.Running(), Waiting: g.queue.Waiting(), Slots: g.queue.Slots()}
}

// Pass hands a call to the backend server of the given instance name, once there is a slot for it. The call waits for
// one only while its answer can be expected by the time of its patience. The end of the context breaks the call off.
func (g *Gate) Pass(ctx context.Context, c *calls.Call, instance string, patience time.Time) *calls.Result {
	result := g.pass(ctx, c, instance, patience)
	load := g.Load()
	result.Load = &load
	return result
}

func (g *Gate) pass(ctx context.Context, c *calls.Call, instance string, patience time.Time) *calls.Result {
	server, refused := g.admit(instance)
	if refused != nil {
		return refused
	}
	if refused := g.allow(); refused != nil {
		return refused
	}
	queue, verdict := g.waitForSlot(ctx, c, server, patience)
	if verdict.Action != Run {
		return g.turnedAway(ctx, verdict)
	}
	// The backend server may have left while the call waited.
	if _, refused := g.admit(instance); refused != nil {
		g.done(queue, c.Route, 0)
		return refused
	}
	began := g.options.Now()
	result := g.send(ctx, c, server)
	result.Latency = g.options.Now().Sub(began)
	g.record(c, server, result)
	took := result.Latency
	if result.Outcome != calls.Answered {
		took = 0
	}
	g.done(queue, c.Route, took)
	return result
}

// record counts the outcome for the judgement of versions. What a caller's leaving or a refusal cut short tells nothing.
func (g *Gate) record(c *calls.Call, server start, result *calls.Result) {
	switch result.Outcome {
	case calls.Answered:
		g.options.Recorder.Record(server.service, server.version, c.Route, result.Response.Status < statusServerError, false, result.Latency)
	case calls.Expired:
		g.options.Recorder.Record(server.service, server.version, c.Route, false, false, result.Latency)
	case calls.Unknown:
		g.options.Recorder.Record(server.service, server.version, c.Route, false, true, result.Latency)
	}
}

func refusal(reason calls.Reason, detail string) *calls.Result {
	return &calls.Result{Outcome: calls.NotRun, Reason: reason, Detail: detail}
}

// admit returns the start of the backend server that takes the call.
func (g *Gate) admit(instance string) (start, *calls.Result) {
	info := g.options.LocalServer()
	switch {
	case info == nil:
		return start{}, refusal(calls.ReasonMisdirected, "no backend server is announced beside this node")
	case info.Instance != instance:
		return start{}, refusal(calls.ReasonMisdirected, "backend server "+info.Instance+" is beside this node")
	case info.State != apiv1.ServerState_SERVER_STATE_READY:
		return start{}, refusal(calls.ReasonDraining, "the backend server is leaving")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := start{info.Instance, info.Incarnation, info.Addr, info.Service, info.Version}
	if now != g.current {
		if g.current.addr != "" {
			g.client.Drop(g.current.addr)
		}
		g.current = now
		g.down, g.downUntil = false, time.Time{}
		slots := int(info.Slots)
		if slots == 0 {
			slots = defaultSlots
		}
		g.queue = NewQueue(slots)
	}
	return now, nil
}

// allow refuses calls while the backend server takes no connections, but for one from time to time that tries again.
func (g *Gate) allow() *calls.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return nil
	}
	now := g.options.Now()
	if now.Before(g.downUntil) {
		return refusal(calls.ReasonUnreachable, "the backend server took no connection a moment ago")
	}
	g.downUntil = now.Add(trialTime)
	return nil
}

// reached notes that the backend server answers.
func (g *Gate) reached() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = false
}

// waitForSlot returns the queue in which the call has a slot, or why it has none.
func (g *Gate) waitForSlot(ctx context.Context, c *calls.Call, server start, patience time.Time) (*Queue, Verdict) {
	ticket := &Ticket{Route: c.Route, Priority: c.Priority, Objective: c.Objective, Patience: patience, Deadline: c.Deadline}
	g.mu.Lock()
	queue := g.queue
	now := g.options.Now()
	verdict := queue.Offer(ticket, now)
	g.mu.Unlock()
	if verdict.Action != Wait {
		return queue, verdict
	}
	timer := time.NewTimer(patience.Sub(now))
	defer timer.Stop()
	select {
	case verdict = <-ticket.turn:
		return queue, verdict
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	left := queue.Leave(ticket)
	g.mu.Unlock()
	if left {
		return queue, Verdict{Action: Refuse, RetryAfter: leastRetry}
	}
	return queue, <-ticket.turn
}

func (g *Gate) turnedAway(ctx context.Context, verdict Verdict) *calls.Result {
	if ctx.Err() != nil {
		return refusal(calls.ReasonCanceled, "the caller left while the call waited")
	}
	result := refusal(calls.ReasonFull, "the call would wait for longer than it can")
	result.RetryAfter = verdict.RetryAfter
	return result
}

func (g *Gate) done(queue *Queue, route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue.Done(route, took, g.options.Now())
}

// send makes the exchange with the backend server.
func (g *Gate) send(ctx context.Context, c *calls.Call, server start) *calls.Result {
	now := g.options.Now()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(answerGrace))
	response, err := g.client.Do(ctx, server.addr, g.request(c, server, now))
	if err != nil {
		cancel()
		return g.failed(err)
	}
	g.reached()
	if response.Rest == nil {
		cancel()
	} else {
		response.Rest = &cancelOnClose{ReadCloser: response.Rest, cancel: cancel}
	}
	return g.judge(response)
}

func (g *Gate) request(c *calls.Call, server start, now time.Time) *exchange.Request {
	names := g.options.Headers
	header := c.Header.Clone()
	header.Set(names.DeadlineMs, strconv.FormatInt(max(c.Deadline.Sub(now).Milliseconds(), 1), 10))
	header.Set(names.TargetServer, server.instance)
	return c.Request(header, names.RequestID)
}

// failed tells what an exchange without an answer means for the call.
func (g *Gate) failed(err error) *calls.Result {
	switch {
	case errors.Is(err, context.Canceled) && errors.Is(err, exchange.ErrNotSent):
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonCanceled, Detail: err.Error()}
	case errors.Is(err, context.Canceled):
		return &calls.Result{Outcome: calls.Canceled, Reason: calls.ReasonCanceled, Detail: err.Error()}
	case errors.Is(err, context.DeadlineExceeded):
		return &calls.Result{Outcome: calls.Expired, Reason: calls.ReasonDeadline, Detail: err.Error()}
	case errors.Is(err, exchange.ErrNotSent):
		g.mu.Lock()
		g.down, g.downUntil = true, g.options.Now().Add(downTime)
		g.mu.Unlock()
		return refusal(calls.ReasonUnreachable, err.Error())
	}
	return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: err.Error()}
}

// judge tells an answer of the backend server's own from a refusal and from what it cannot have meant.
func (g *Gate) judge(response *exchange.Response) *calls.Result {
	names := g.options.Headers
	switch {
	case response.Header.Get(names.NotRun) != "":
		return refusal(calls.ReasonShed, "the backend server refused with status "+strconv.Itoa(response.Status))
	case response.Status == statusMisdirected:
		return refusal(calls.ReasonMisdirected, "another backend server has the address")
	case response.Header.Get("Content-Encoding") != "":
		return discarded(response, "the answer is encoded, which nobody asked for")
	case names.Stamp != "" && response.Status < 300 && response.Header.Get(names.Stamp) == "":
		return discarded(response, "the answer does not bear the backend server's stamp")
	}
	return &calls.Result{Outcome: calls.Answered, Response: response}
}

// statusMisdirected is sent by a backend server that is not the one which the request names (RFC 9110, 15.5.20).
const statusMisdirected = 421

// statusServerError is the least status that blames the backend server.
const statusServerError = 500

func discarded(response *exchange.Response, detail string) *calls.Result {
	if response.Rest != nil {
		// Closing breaks the exchange off; there is nothing to do about a failure.
		_ = response.Rest.Close()
	}
	return &calls.Result{Outcome: calls.Unknown, Reason: calls.ReasonBroken, Detail: detail}
}
