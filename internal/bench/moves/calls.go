package moves

import (
	"math"
	"time"
)

// routeNames lists the routes in the order of workload.routes.
var routeNames = []string{"lookup", "book", "confirm", "cancel"}

// sendCalls sends the calls of one tick.
func (s *simulation) sendCalls() {
	rate := s.workload.callsPerSecond
	if s.surging() {
		rate *= 2
	}
	for range poisson(s.random, rate*tick.Seconds()) {
		s.sendCall()
	}
	for s.scenario.crashInterval > 0 && !s.now.Before(s.nextCrash) {
		s.nextCrash = s.nextCrash.Add(s.scenario.crashInterval)
		for range crashAttempts {
			s.sendCrashingRequest()
		}
	}
}

func (s *simulation) surging() bool {
	return s.scenario.surge && s.disturbance.contains(s.elapsed())
}

// pickTarget draws the node of a call and the version that the node sends it to.
func (s *simulation) pickTarget() (node, domain int, toNew bool) {
	node = s.random.IntN(s.workload.nodes)
	domain = node % s.workload.domains
	share := s.shares[domain]
	if s.strategy.breakersEnabled() {
		share = s.breakers[node].Limit(s.now, share)
	}
	return node, domain, s.readyServers > 0 && s.random.Uint32N(fullShare) < share
}

// fullShare is all traffic, in basis points.
const fullShare = 10000

// sendCall sends one call and records its outcome.
func (s *simulation) sendCall() {
	node, domain, toNew := s.pickTarget()
	route := s.pickRoute()
	affected := toNew && s.regressionApplies(route, domain)
	failed := s.random.Float64() < s.sharedErrorRate()
	duration := s.drawDuration(toNew)
	crashed := false
	if affected {
		failed = failed || s.random.Float64() < s.scenario.errorRate
		if s.scenario.slowFactor > 0 {
			duration = time.Duration(float64(duration) * s.scenario.slowFactor)
		}
		crashed = s.scenario.crashRate > 0 && s.random.Float64() < s.scenario.crashRate
	}
	if crashed {
		s.crashServer()
	}
	s.record(node, domain, route, toNew, !failed && !crashed, crashed, duration)
	s.result.count(s.elapsed(), toNew, affected && (failed || crashed || s.scenario.slowFactor > 0))
}

func (s *simulation) pickRoute() int {
	point := s.random.Float64()
	for route, share := range s.workload.routes {
		if point < share {
			return route
		}
		point -= share
	}
	return len(s.workload.routes) - 1
}

// regressionApplies reports whether the regression of the new version can affect a call.
func (s *simulation) regressionApplies(route, domain int) bool {
	if !s.scenario.bad || s.elapsed() < s.regressionOnset {
		return false
	}
	if s.scenario.oneRoute && route != s.regressedRoute {
		return false
	}
	return float64(s.shares[domain])/fullShare >= s.scenario.minShare
}

// sharedErrorRate is the error rate that both versions have at present.
func (s *simulation) sharedErrorRate() float64 {
	if s.scenario.dependencyFault && s.disturbance.contains(s.elapsed()) || s.dependencyFailsAtFullShare() {
		return dependencyErrorRate
	}
	return s.workload.errorRate
}

// dependencyFailsAtFullShare reports whether the shared dependency fails at present. It fails for a
// minute, starting 30 seconds after the new version first had its full share.
func (s *simulation) dependencyFailsAtFullShare() bool {
	const after, length = 30 * time.Second, time.Minute
	if !s.scenario.dependencyFaultAtFullShare || s.fullShareAt == 0 {
		return false
	}
	return timeWindow{s.fullShareAt + after, s.fullShareAt + after + length}.contains(s.elapsed())
}

func (s *simulation) drawDuration(toNew bool) time.Duration {
	duration := float64(s.workload.median) * math.Exp(durationSigma*s.random.NormFloat64())
	if s.surging() {
		duration *= 1.5
	}
	if toNew && s.useColdCall() {
		duration *= coldSlowdown
	}
	return time.Duration(duration)
}

// useColdCall draws the backend server of a call to the new version and reports whether the call is one of its first,
// slow ones.
func (s *simulation) useColdCall() bool {
	if len(s.coldCallsLeft) == 0 {
		return false
	}
	server := s.random.IntN(len(s.coldCallsLeft))
	s.coldCallsLeft[server]--
	return s.coldCallsLeft[server] >= 0
}

func (s *simulation) record(node, domain, route int, toNew, ok, broken bool, duration time.Duration) {
	version := oldVersion
	if toNew {
		version = newVersion
	}
	s.aggregators[domain].Record(serviceName, version, routeNames[route], ok, broken, duration)
	s.breakers[node].Record(s.now, toNew, !ok)
}

// crashServer takes down one of the new version's backend servers for serverRestartTime.
func (s *simulation) crashServer() {
	s.readyServers--
	s.restartsAt = append(s.restartsAt, s.now.Add(serverRestartTime))
}

// sendCrashingRequest sends a request that crashes its backend server and fails the calls that run there concurrently.
func (s *simulation) sendCrashingRequest() {
	const maxConcurrent = 2
	node, domain, toNew := s.pickTarget()
	if toNew {
		s.crashServer()
	}
	for range 1 + s.random.IntN(maxConcurrent+1) {
		s.record(node, domain, s.pickRoute(), toNew, false, true, s.workload.median)
	}
}
