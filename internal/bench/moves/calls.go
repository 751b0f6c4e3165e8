package moves

import (
	"math"
	"time"
)

// routeNames are the routes in the order of a workload.
var routeNames = []string{"lookup", "book", "confirm", "cancel"}

// calls sends the calls of one tick.
func (w *world) calls() {
	rate := w.workload.callsPerSecond
	if w.surging() {
		rate *= 2
	}
	for range poisson(w.random, rate*tick.Seconds()) {
		w.call()
	}
	for w.mode.crashEvery > 0 && !w.now.Before(w.nextCrash) {
		w.nextCrash = w.nextCrash.Add(w.mode.crashEvery)
		for range crashSends {
			w.crash()
		}
	}
}

func (w *world) surging() bool {
	return w.mode.surge && w.trouble.holds(w.since())
}

// pick chooses a node and the version that it sends a call to.
func (w *world) pick() (node, domain int, ofNew bool) {
	node = w.random.IntN(w.workload.nodes)
	domain = node % w.workload.domains
	share := w.shares[domain]
	if w.steer.guarded() {
		share = w.breakers[node].Limit(w.now, share)
	}
	return node, domain, w.ready > 0 && w.random.Uint32N(fullShare) < share
}

const fullShare = 10000

// call sends one call and records its outcome.
func (w *world) call() {
	node, domain, ofNew := w.pick()
	route := w.pickRoute()
	struck := ofNew && w.strikes(route, domain)
	failed := w.random.Float64() < w.errorRate()
	duration := w.duration(ofNew)
	died := false
	if struck {
		failed = failed || w.random.Float64() < w.mode.errorRate
		if w.mode.slowFactor > 0 {
			duration = time.Duration(float64(duration) * w.mode.slowFactor)
		}
		died = w.mode.deathRate > 0 && w.random.Float64() < w.mode.deathRate
	}
	if died {
		w.die()
	}
	w.record(node, domain, route, ofNew, !failed && !died, died, duration)
	w.result.count(w.since(), ofNew, struck && (failed || died || w.mode.slowFactor > 0))
}

func (w *world) pickRoute() int {
	point := w.random.Float64()
	for route, share := range w.workload.routes {
		if point < share {
			return route
		}
		point -= share
	}
	return len(w.workload.routes) - 1
}

// strikes reports whether the new version's badness can show in a call.
func (w *world) strikes(route, domain int) bool {
	if !w.mode.bad || w.since() < w.onset {
		return false
	}
	if w.mode.oneRoute && route != w.badRoute {
		return false
	}
	return float64(w.shares[domain])/fullShare >= w.mode.minLoad
}

func (w *world) errorRate() float64 {
	if w.mode.beneath && w.trouble.holds(w.since()) || w.failsWhenWhole() {
		return beneathRate
	}
	return w.workload.errorRate
}

// failsWhenWhole holds for some time that begins a while after the move was whole for the first time.
func (w *world) failsWhenWhole() bool {
	const after, length = 30 * time.Second, time.Minute
	if !w.mode.beneathWatch || w.wholeAt == 0 {
		return false
	}
	return span{w.wholeAt + after, w.wholeAt + after + length}.holds(w.since())
}

func (w *world) duration(ofNew bool) time.Duration {
	duration := float64(w.workload.median) * math.Exp(durationSpread*w.random.NormFloat64())
	if w.surging() {
		duration *= 1.5
	}
	if ofNew && w.isCold() {
		duration *= coldFactor
	}
	return time.Duration(duration)
}

// isCold draws the backend server of a call of the new version and reports whether the call is one of its first.
func (w *world) isCold() bool {
	if len(w.coldLeft) == 0 {
		return false
	}
	server := w.random.IntN(len(w.coldLeft))
	w.coldLeft[server]--
	return w.coldLeft[server] >= 0
}

func (w *world) record(node, domain, route int, ofNew, ok, broken bool, duration time.Duration) {
	version := oldVersion
	if ofNew {
		version = newVersion
	}
	w.sums[domain].Record(serviceName, version, routeNames[route], ok, broken, duration)
	w.breakers[node].Record(w.now, ofNew, !ok)
}

// die takes one of the new version's backend servers away for some time.
func (w *world) die() {
	w.ready--
	w.restarts = append(w.restarts, w.now.Add(restartTime))
}

// crash sends a request that kills the backend server that runs it, with the calls that run beside it.
func (w *world) crash() {
	const beside = 2
	node, domain, ofNew := w.pick()
	if ofNew {
		w.die()
	}
	for range 1 + w.random.IntN(beside+1) {
		w.record(node, domain, w.pickRoute(), ofNew, false, true, w.workload.median)
	}
}
