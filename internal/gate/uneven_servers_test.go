package gate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
	"samphireflow/internal/placement"
)

const (
	unevenObjective = 800 * time.Millisecond
	unevenDeadline  = 2 * time.Second
	// unevenHop is the time of a message between two nodes.
	unevenHop = 500 * time.Microsecond
	// longWork is the work in ms above which a call misses its objective at usual speed of most backend servers.
	longWork = 600
)

// unevenLoad is the load of a service with 50 backend servers of 18 slots in 4 failure domains. One in four takes 0.55 of the
// usual time, the others 1.2; each takes 2.5 times as long in 15% of its spans of 600 ms, and the span in which a run starts
// counts for the run. 60 nodes hear of a backend server only by the answers to their own calls. Calls have 250 ms of work on
// average, 3% of them seven times that, and an objective of 800 ms. The demand of each failure domain swings by 55% in 15 s.
type unevenLoad struct {
	eventQueue
	random  *rand.Rand
	servers []*unevenServer
	// stats holds what each node knows of each backend server.
	stats [60][]*placement.ServerStats
	// told says whether backend servers tell their slowdown.
	told bool
	// short counts the calls without long work, late those of them that were late or refused.
	short, late int
}

type unevenServer struct {
	domain  int
	speed   float64
	phase   time.Duration
	slow    map[time.Duration]bool
	queue   *Queue
	waiting []*unevenCall
}

type unevenCall struct {
	entry        *Entry
	node, server int
	arrived      time.Time
	work         float64
	tried        map[int]bool
	gaveUp       bool
	lateRefusals int
	slowRefusals int
}

func newUnevenLoad(told bool) *unevenLoad {
	l := &unevenLoad{eventQueue: eventQueue{now: epoch}, told: told, random: rand.New(rand.NewPCG(1, 2))}
	for i := range 50 {
		speed := 1.2
		if i%4 == 0 {
			speed = 0.55
		}
		l.servers = append(l.servers, &unevenServer{
			domain: i / 4 % 4, speed: speed, phase: time.Duration(l.random.IntN(600)) * time.Millisecond,
			slow: map[time.Duration]bool{}, queue: NewQueue(18),
		})
	}
	for n := range l.stats {
		for range l.servers {
			l.stats[n] = append(l.stats[n], placement.NewServerStats(18, time.Time{}))
		}
	}
	return l
}

// slowdown returns the slowdown of a backend server at this moment.
func (l *unevenLoad) slowdown(s *unevenServer) float64 {
	span := (l.now.Sub(epoch) + s.phase) / (600 * time.Millisecond)
	if _, known := s.slow[span]; !known {
		s.slow[span] = l.random.Float64() < 0.15
	}
	if s.slow[span] {
		return 2.5 * s.speed
	}
	return s.speed
}

// arrive lets calls arrive in a failure domain.
func (l *unevenLoad) arrive(domain int, perSecond float64) {
	phase := l.now.Sub(epoch).Seconds()/15 + 0.1 + 0.08*float64(domain)
	wait := l.random.ExpFloat64() / (perSecond * (1 + 0.55*math.Sin(2*math.Pi*phase)))
	l.after(time.Duration(wait*float64(time.Second)), func() {
		c := &unevenCall{node: domain + 4*l.random.IntN(len(l.stats)/4), arrived: l.now, tried: map[int]bool{}}
		c.work = 250 * math.Exp(0.5*l.random.NormFloat64()-0.125)
		if l.random.Float64() < 0.03 {
			c.work *= 7
		}
		if c.work < longWork {
			l.short++
		}
		l.ask(c)
		l.arrive(domain, perSecond)
	})
}

// ask asks the gate that the call's node chooses, as the ingress does.
func (l *unevenLoad) ask(c *unevenCall) {
	candidates := make([]placement.Candidate, len(l.servers))
	for i, s := range l.servers {
		candidates[i] = placement.Candidate{Stats: l.stats[c.node][i], Local: s.domain == c.node%4, Tried: c.tried[i]}
	}
	if c.lateRefusals == 2 {
		l.end(c, false)
		return
	}
	c.server = placement.Choose(candidates, unevenObjective, l.random.Float64, l.now)
	c.tried[c.server] = true
	l.stats[c.node][c.server].Begin(l.now)
	l.after(unevenHop, func() { l.admit(c) })
}

func (l *unevenLoad) admit(c *unevenCall) {
	s := l.servers[c.server]
	c.entry = &Entry{Route: "history", Objective: c.arrived.Add(unevenObjective), Deadline: c.arrived.Add(unevenDeadline)}
	c.entry.FinishBy = c.arrived.Add(unevenObjective * 3 / 4)
	if c.gaveUp {
		c.entry.FinishBy = l.now.Add(min(unevenObjective, c.entry.Deadline.Sub(l.now)/2))
	}
	if decision := s.queue.Admit(c.entry, l.now); decision.Action == Wait {
		s.waiting = append(s.waiting, c)
	} else {
		l.decided(c, decision)
	}
	l.collect(s)
}

// collect carries out the decisions on waiting calls.
func (l *unevenLoad) collect(s *unevenServer) {
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		if decision, decided := receiveDecision(c.entry); decided {
			l.decided(c, decision)
		} else {
			s.waiting = append(s.waiting, c)
		}
	}
}

func (l *unevenLoad) decided(c *unevenCall, decision Decision) {
	s := l.servers[c.server]
	if decision.Action == Run {
		took := time.Duration(c.work * l.slowdown(s) * float64(time.Millisecond))
		heard := s.queue.slowdown(l.now)
		l.after(took, func() { l.complete(c, took, heard) })
		return
	}
	result := &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull, Load: l.load(s)}
	if decision.Slow {
		result.Reason = calls.ReasonSlow
		c.slowRefusals++
	} else if c.gaveUp {
		c.lateRefusals++
	}
	c.gaveUp = !decision.Slow || c.slowRefusals == 3
	l.after(unevenHop, func() {
		l.stats[c.node][c.server].End(result, l.now)
		l.ask(c)
	})
}

func (l *unevenLoad) complete(c *unevenCall, took time.Duration, heard float64) {
	s := l.servers[c.server]
	if l.told {
		s.queue.observeLoad(calls.Load{Slowdown: l.slowdown(s)}, l.now)
	}
	s.queue.Release("history", atSlowdownOne(took, heard), l.now)
	result := &calls.Result{Outcome: calls.Answered, Response: &exchange.Response{Status: 200}, Load: l.load(s), Latency: took}
	l.collect(s)
	l.after(unevenHop, func() {
		l.stats[c.node][c.server].End(result, l.now)
		l.end(c, l.now.Sub(c.arrived) <= unevenObjective)
	})
}

func (l *unevenLoad) end(c *unevenCall, inTime bool) {
	if c.work < longWork && !inTime {
		l.late++
	}
}

func (l *unevenLoad) load(s *unevenServer) *calls.Load {
	return &calls.Load{Running: s.queue.Running(), Waiting: s.queue.Waiting(), Slots: s.queue.Slots(), Slowdown: s.queue.slowdown(l.now)}
}

// lateShare plays 1,700 calls a second for 12 s and returns the share of late calls among those without long work.
func lateShare(told bool) float64 {
	l := newUnevenLoad(told)
	for domain := range 4 {
		l.arrive(domain, 1700.0/4)
	}
	l.runUntil(epoch.Add(12 * time.Second))
	return float64(l.late) / float64(l.short)
}

// TestFewCallsMeetASlowMoment covers unevenLoad. A crew waits for each late answer, so that at most one in a hundred of the
// calls that a usual machine answers in time may be late; nodes that follow the slowdown only by their own latencies do not
// reach that.
func TestFewCallsMeetASlowMoment(t *testing.T) {
	require.Greater(t, lateShare(false), 0.01, "the load does not need the mechanism")
	require.Less(t, lateShare(true), 0.01)
}
