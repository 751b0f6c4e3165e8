package gate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/admission"
)

// innerLoad is a load on a large service whose runs call a small one, both with gates and queues as in service. Latencies
// vary evenly by half around their means.
type innerLoad struct {
	outerGates, innerGates, slots int
	// outerRate and localRate are the calls per second to the outer service, and of callers to the inner one.
	outerRate, localRate float64
	outerWork, innerWork time.Duration
	localWork            time.Duration
	objective, deadline  time.Duration
	innerObjective       time.Duration
	// innerShare is the share of runs that make two inner calls, one after the other or together.
	innerShare float64
	together   bool
	// rate is the factor of all arrivals at a time.
	rate func(at time.Duration) float64
	// aware turns on admission by the inner service and the precedence of inner calls.
	aware bool
}

// innerLoadResult counts the calls and runs that began within a second.
type innerLoadResult struct {
	offered, served, runs, wasted, localOffered, localServed []int
}

func share(part, whole []int, from int) float64 {
	sums := [2]int{}
	for i := from; i < len(whole); i++ {
		sums[0] += part[i]
		sums[1] += whole[i]
	}
	return float64(sums[0]) / float64(sums[1])
}

type timedEvent struct {
	at  time.Duration
	run func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// loadGate is a gate without a network: a queue, and the controller of the node beside it.
type loadGate struct {
	queue     *Queue
	admission *admission.Controller
	waiting   []*waitingCall
}

// waitingCall is a call that waits at a gate; done learns whether it got a slot.
type waitingCall struct {
	entry *Entry
	done  func(ran bool)
}

// loadReplay replays an innerLoad.
type loadReplay struct {
	innerLoad
	innerLoadResult
	now          time.Duration
	events       eventHeap
	random       *rand.Rand
	outer, inner []*loadGate
	lastID       int
}

func replayInner(load innerLoad, seconds int) innerLoadResult {
	r := &loadReplay{innerLoad: load, random: rand.New(rand.NewPCG(1, 2))}
	r.outer, r.inner = newLoadGates(load.outerGates, load.slots), newLoadGates(load.innerGates, load.slots)
	count := func() []int { return make([]int, seconds) }
	r.innerLoadResult = innerLoadResult{count(), count(), count(), count(), count(), count()}
	end := time.Duration(seconds) * time.Second
	r.arrive(load.outerRate, end, func() { r.callOuter(r.now, 1) })
	r.arrive(load.localRate, end, func() { r.callLocal() })
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(timedEvent)
		r.now = next.at
		next.run()
	}
	return r.innerLoadResult
}

func newLoadGates(count, slots int) []*loadGate {
	gates := make([]*loadGate, count)
	for i := range gates {
		gates[i] = &loadGate{queue: NewQueue(slots), admission: admission.NewController(admission.Options{})}
	}
	return gates
}

func (r *loadReplay) after(delay time.Duration, run func()) {
	heap.Push(&r.events, timedEvent{r.now + delay, run})
}

// arrive lets calls arrive at random until the end.
func (r *loadReplay) arrive(rate float64, end time.Duration, call func()) {
	gap := time.Duration(r.random.ExpFloat64() / (rate * r.rate(r.now)) * float64(time.Second))
	if rate == 0 || r.now+gap >= end {
		return
	}
	r.after(gap, func() {
		call()
		r.arrive(rate, end, call)
	})
}

func (r *loadReplay) latency(mean time.Duration) time.Duration {
	return time.Duration((0.5 + r.random.Float64()) * float64(mean))
}

// pick returns the gate with fewer calls of two.
func (r *loadReplay) pick(gates []*loadGate) *loadGate {
	a, b := gates[r.random.IntN(len(gates))], gates[r.random.IntN(len(gates))]
	if a.queue.Running()+a.queue.Waiting() <= b.queue.Running()+b.queue.Waiting() {
		return a
	}
	return b
}

func (r *loadReplay) time(at time.Duration) time.Time { return epoch.Add(at) }

// enter passes a call to a gate; done learns whether it got a slot.
func (r *loadReplay) enter(g *loadGate, e *Entry, done func(ran bool)) {
	switch g.queue.Admit(e, r.time(r.now)).Action {
	case Run:
		done(true)
	case Refuse:
		done(false)
	case Wait:
		w := &waitingCall{e, done}
		g.waiting = append(g.waiting, w)
		r.after(max(e.FinishBy.Sub(r.time(r.now)), 0), func() {
			if g.queue.Cancel(e) {
				g.waiting = slices.DeleteFunc(g.waiting, func(other *waitingCall) bool { return other == w })
				done(false)
			}
		})
	}
	r.deliver(g)
}

// deliver delivers the decisions on waiting calls.
func (r *loadReplay) deliver(g *loadGate) {
	var decided []func()
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waitingCall) bool {
		decision, ok := receiveDecision(w.entry)
		if ok {
			decided = append(decided, func() { w.done(decision.Action == Run) })
		}
		return ok
	})
	for _, done := range decided {
		done()
	}
}

func (r *loadReplay) leave(g *loadGate, e *Entry, took time.Duration) {
	if e.Inner {
		g.queue.ReleaseInner(e.Route, took, r.time(r.now))
	} else {
		g.queue.Release(e.Route, took, r.time(r.now))
	}
	r.deliver(g)
}

// attempts passes a call to one gate for an answer on time, then to two for a late one, as an ingress does.
func (r *loadReplay) attempts(gates []*loadGate, newEntry func(try int) *Entry, done func(g *loadGate, e *Entry)) {
	var attempt func(try int)
	attempt = func(try int) {
		if try > 2 {
			done(nil, nil)
			return
		}
		g, e := r.pick(gates), newEntry(try)
		r.enter(g, e, func(ran bool) {
			if ran {
				done(g, e)
			} else {
				attempt(try + 1)
			}
		})
	}
	attempt(0)
}

// entry returns a call as a gate sees it, for one of the attempts of an ingress.
func (r *loadReplay) entry(route string, start, objective, deadline time.Duration, inner bool, try int) *Entry {
	finishBy := start + objective*3/4
	switch {
	case try > 0 && inner:
		finishBy = start + deadline
	case try > 0:
		finishBy = r.now + min(objective, (start+deadline-r.now)/2)
	}
	return &Entry{Route: route, Priority: 2, Inner: inner, Objective: r.time(start + objective), Deadline: r.time(start + deadline), FinishBy: r.time(finishBy)}
}

// callOuter is a call of a caller that repeats it as often as given, after the time that a refusal names.
func (r *loadReplay) callOuter(start time.Duration, repeats int) {
	second := int(start / time.Second)
	if r.now == start {
		r.offered[second]++
	}
	again := func(after time.Duration) {
		if repeats > 0 && r.now+after < start+r.deadline {
			r.after(after, func() { r.callOuter(start, repeats-1) })
		}
	}
	r.lastID++
	id := strconv.Itoa(r.lastID)
	g := r.pick(r.outer)
	var run *admission.Run
	if r.aware {
		var decision admission.Decision
		if run, decision = g.admission.Admit(id, "history", 2, r.time(r.now)); decision.Refused() {
			again(max(decision.RetryAfter, 50*time.Millisecond))
			return
		}
	}
	r.attempts([]*loadGate{g}, func(try int) *Entry { return r.entry("history", start, r.objective, r.deadline, false, try) }, func(g *loadGate, e *Entry) {
		if g == nil {
			again(100 * time.Millisecond)
			return
		}
		began := r.now
		runSecond := min(int(began/time.Second), len(r.runs)-1)
		r.runs[runSecond]++
		r.after(r.latency(r.outerWork)/2, func() {
			r.callInner(g, run, func(ok bool) {
				rest := r.latency(r.outerWork) / 2
				if !ok {
					rest = 0
				}
				r.after(rest, func() {
					r.leave(g, e, r.now-began)
					g.admission.End(run, true, ok, r.time(r.now))
					switch {
					case !ok:
						r.wasted[runSecond]++
						again(0)
					case r.now <= start+r.deadline:
						r.served[second]++
					}
				})
			})
		})
	})
}

// callInner makes the inner calls of a run.
func (r *loadReplay) callInner(parent *loadGate, run *admission.Run, done func(ok bool)) {
	if r.random.Float64() >= r.innerShare {
		done(true)
		return
	}
	if r.together {
		ended, failed := 0, false
		for range 2 {
			r.callInnerOnce(parent, run, func(ok bool) {
				ended++
				failed = failed || !ok
				if ended == 2 {
					done(!failed)
				}
			})
		}
		return
	}
	r.callInnerOnce(parent, run, func(ok bool) {
		if !ok {
			done(false)
			return
		}
		r.callInnerOnce(parent, run, done)
	})
}

func (r *loadReplay) callInnerOnce(parent *loadGate, run *admission.Run, done func(ok bool)) {
	start := r.now
	if run != nil {
		parent.admission.BeginInner(run, "assets")
	}
	end := func(answer admission.Answer) {
		if run != nil {
			parent.admission.EndInner(run, "assets", answer, r.time(r.now))
		}
		done(answer.Served)
	}
	r.attempts(r.inner, func(try int) *Entry {
		return r.entry("lookup", start, r.innerObjective, r.innerObjective*5/2, r.aware, try)
	}, func(g *loadGate, e *Entry) {
		if g == nil {
			end(admission.Answer{NoRoom: true})
			return
		}
		took := r.latency(r.innerWork)
		r.after(took, func() {
			r.leave(g, e, took)
			end(admission.Answer{Served: true, Pressure: g.queue.Pressure(2)})
		})
	})
}

// callLocal is a call of a caller to the inner service.
func (r *loadReplay) callLocal() {
	start := r.now
	second := int(start / time.Second)
	r.localOffered[second]++
	r.attempts(r.inner, func(try int) *Entry { return r.entry("export", start, time.Second, 5*time.Second/2, false, try) }, func(g *loadGate, e *Entry) {
		if g == nil {
			return
		}
		took := r.latency(r.localWork)
		r.after(took, func() {
			r.leave(g, e, took)
			r.localServed[second]++
		})
	})
}

// wave returns a rate that rises and falls by the given share.
func wave(swing float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return 1 + swing*math.Sin(2*math.Pi*float64(at)/float64(period))
	}
}

// Two inner calls of 70% of the runs, one after the other or together, with the latencies, objectives and waves of two
// deployments. The outer service has so many slots that it does not limit the inner calls by itself: with fewer, runs that
// wait for inner calls take up its slots first.
var innerLoads = map[string]innerLoad{
	"one after the other": {
		outerGates: 40, innerGates: 2, slots: 18, outerRate: 420, localRate: 32, outerWork: 250 * time.Millisecond, innerWork: 72 * time.Millisecond,
		localWork: 200 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 1200 * time.Millisecond, innerObjective: 300 * time.Millisecond,
		innerShare: 0.7, rate: wave(0.55, 15*time.Second),
	},
	"together": {
		outerGates: 80, innerGates: 5, slots: 9, outerRate: 840, localRate: 84, outerWork: 180 * time.Millisecond, innerWork: 45 * time.Millisecond,
		localWork: 230 * time.Millisecond, objective: 500 * time.Millisecond, deadline: time.Second, innerObjective: 200 * time.Millisecond,
		innerShare: 0.7, together: true, rate: wave(0.15, 11*time.Second),
	},
}

// Load pattern: high load with a wave, at whose height the inner service cannot serve the runs of the outer one. Runs that
// fail for want of an inner call are thrown away; fewer than one in twenty may be, and the callers of the inner service are
// served too.
func TestFewRunsAreWastedWhileTheInnerServiceIsFull(t *testing.T) {
	for name, load := range innerLoads {
		t.Run(name, func(t *testing.T) {
			before := replayInner(load, 16)
			load.aware = true
			after := replayInner(load, 16)
			t.Logf("wasted %.3f, then %.3f; served %.3f, then %.3f; callers of the inner service served %.3f, then %.3f",
				share(before.wasted, before.runs, 0), share(after.wasted, after.runs, 0), share(before.served, before.offered, 0), share(after.served, after.offered, 0),
				share(before.localServed, before.localOffered, 0), share(after.localServed, after.localOffered, 0))
			require.Greater(t, share(before.wasted, before.runs, 0), 0.05, "the load makes runs fail")
			require.Less(t, share(after.wasted, after.runs, 0), 0.05)
			require.Greater(t, share(after.localServed, after.localOffered, 0), 0.25*share(after.served, after.offered, 0), "no route starves beside the inner calls")
		})
	}
}

// Metastable failures: a burst of three times the usual load for three seconds, and callers that repeat. From a second after
// it on nearly all calls are served again.
func TestGoodputReturnsAfterABurst(t *testing.T) {
	for name, load := range innerLoads {
		t.Run(name, func(t *testing.T) {
			load.aware = true
			load.outerRate *= 0.6
			load.localRate *= 0.6
			load.rate = func(at time.Duration) float64 {
				if at > 5*time.Second && at < 8*time.Second {
					return 3
				}
				return 1
			}
			result := replayInner(load, 20)
			require.Greater(t, share(result.served, result.offered, 0), 0.5)
			require.Greater(t, share(result.served, result.offered, 10), 0.98)
		})
	}
}
