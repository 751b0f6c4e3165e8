package move

import (
	"math"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move/sequential"
)

// Parts of the false-alarm rate that the groups of tests get. Concurrent and historical tests get one part each. The
// concurrent part is divided among the tests over all routes (pooled), the crash test and the tests of single routes;
// historical tests add the crash part to the pooled one, as they have no crash test.
const (
	concurrentPart = 0.5
	historicalPart = 0.5
	pooledPart     = 0.3
	crashesPart    = 0.2
	routesPart     = 0.5
)

// Bounds of the expected number of blocks of one route.
const (
	minHorizon = 60
	maxHorizon = 4096
)

// Judge evaluates the call outcomes of one move. It is not safe for concurrent use.
type Judge struct {
	plan   plan
	policy *apiv1.MovePolicy
	// ratioBuckets is the tolerated rise of a call duration, in buckets.
	ratioBuckets int
	errorMargin  float64
	// horizon is the expected number of blocks of one route.
	horizon int
	// maxRoutes is the number of routes that get tests of their own.
	maxRoutes int

	byRoute map[string]*routeEvidence
	// concurrent and historical are the tests over all routes: of calls of both versions in the same period, and of calls
	// at full share against earlier calls of the old version.
	concurrent *regressionTests
	historical *regressionTests
	crashes    *sequential.Crashes
	// lastCrash is the time of the last crash that was counted, by version and failure domain.
	lastCrash map[crashKey]time.Time

	// concurrentFinding and historicalFinding are cached; stale says that the tests have newer evidence.
	concurrentFinding finding
	historicalFinding finding
	stale             bool

	// shareBp is the share of the new version in basis points, in effect since shareSince.
	shareBp     uint32
	atFullShare bool
	shareSince  time.Time
	warmUp      warmUp

	nonInferiority *nonInferiorityTests
	allCalls       uint64
	firstCall      time.Time
	// wasAtFullShare says that the move has been at full share at least once.
	wasAtFullShare bool
	// newCalls and newBad are the calls and bad calls of the new version.
	newCalls uint64
	newBad   uint64
	// stageCallTime is the sum of the call durations of both versions in the current stage.
	stageCallTime time.Duration
}

type crashKey struct {
	side   Side
	domain string
}

// NewJudge returns the judge of a move whose service has the given number of routes.
func NewJudge(move *apiv1.Move, routes int) *Judge {
	policy := move.Policy
	margin := float64(policy.ErrorMarginBp) / fullShare
	j := &Judge{
		plan:         newPlan(time.UnixMilli(move.StartedUnixMs), time.UnixMilli(move.DeadlineUnixMs), policy.FirstShareBp),
		policy:       policy,
		ratioBuckets: ratioBuckets(policy.LatencyRatioPct),
		errorMargin:  margin,
		maxRoutes:    max(routes, 1),
		byRoute:      map[string]*routeEvidence{},
		lastCrash:    map[crashKey]time.Time{},
	}
	j.horizon = expectedBlocks(j.plan, policy)
	totalHorizon := j.horizon * j.maxRoutes
	j.concurrent = newRegressionTests("calls", concurrentPart*pooledPart, margin, totalHorizon)
	j.crashes = sequential.NewCrashes(crashOddsRatios, j.horizon)
	j.nonInferiority = newNonInferiorityTests(margin)
	j.resetHistorical()
	j.update(move)
	return j
}

// resetHistorical drops the evidence from the time at full share.
func (j *Judge) resetHistorical() {
	j.historical = j.newHistorical("calls", pooledPart+crashesPart, j.horizon*j.maxRoutes)
	for _, r := range j.byRoute {
		if r.concurrent != nil {
			r.historical = j.newRouteHistorical(r.name)
		}
	}
	j.stale = true
}

func (j *Judge) newHistorical(subject string, part float64, horizon int) *regressionTests {
	return newRegressionTests(subject+" of the whole move", historicalPart*part, j.errorMargin, horizon)
}

func (j *Judge) newRouteHistorical(route string) *regressionTests {
	return j.newHistorical("calls on "+route, routesPart/float64(j.maxRoutes), j.horizon)
}

// ratioBuckets converts a ratio of durations into a number of duration buckets, rounded up. The bound of a bucket is twice
// that of the one before.
func ratioBuckets(percent uint32) int {
	ratio := max(float64(percent)/100, 1)
	return int(math.Ceil(math.Log2(ratio)))
}

func expectedBlocks(p plan, policy *apiv1.MovePolicy) int {
	duration := p.duration() + time.Duration(policy.WatchMs)*time.Millisecond
	return int(min(max(duration/minBlockTime, minHorizon), maxHorizon))
}

// update applies a change of the share or stage of the move: it closes the open blocks and starts a new stage.
func (j *Judge) update(move *apiv1.Move) {
	since := time.UnixMilli(move.StageUnixMs)
	if move.ShareBp == j.shareBp && since.Equal(j.shareSince) {
		return
	}
	for _, r := range j.sortedRoutes() {
		j.closeBlock(r)
	}
	j.nonInferiority.nextStage()
	j.shareBp = move.ShareBp
	j.atFullShare = move.State == apiv1.MoveState_MOVE_STATE_WATCHING
	j.shareSince = since
	j.stageCallTime = 0
	j.wasAtFullShare = j.wasAtFullShare || j.atFullShare
	if !j.atFullShare {
		j.resetHistorical()
	}
}

// Observe adds outcomes of one version on one route that a failure domain reported.
func (j *Judge) Observe(now time.Time, side Side, route, domain string, counts Counts) {
	if counts.Broken > 0 {
		counts.Broken = j.observeCrash(now, side, domain)
	}
	r := j.evidenceOf(route, now)
	if r.openBlock == ([2]Counts{}) {
		r.blockStart = now
		r.durationsUsable = j.durationsUsable(now)
	}
	r.openBlock[side].Add(counts)
	j.stageCallTime += counts.TotalDuration()
	calls, bad := errorCounts(&counts)
	if j.allCalls == 0 {
		j.firstCall = now
	}
	j.allCalls += calls
	if side == NewVersion {
		j.newCalls += calls
		j.newBad += bad
		j.warmUp.calls += calls
	}
}

// observeCrash counts broken calls of one version and failure domain within minBlockTime as one crash, because a crash of
// a backend server breaks all its calls. It returns the number of crashes counted.
func (j *Judge) observeCrash(now time.Time, side Side, domain string) uint64 {
	key := crashKey{side, domain}
	if last, ok := j.lastCrash[key]; ok && now.Sub(last) < minBlockTime {
		return 0
	}
	j.lastCrash[key] = now
	if !j.atFullShare {
		j.crashes.Observe(side == NewVersion, float64(j.shareBp)/fullShare)
		j.stale = true
	}
	return 1
}

// evidenceOf returns the evidence on a route and creates it on first use.
func (j *Judge) evidenceOf(route string, now time.Time) *routeEvidence {
	r := j.byRoute[route]
	if r != nil {
		return r
	}
	r = newRouteEvidence(route, j.errorMargin)
	r.blockStart = now
	if len(j.byRoute) < j.maxRoutes {
		weight := concurrentPart * routesPart / float64(j.maxRoutes)
		r.concurrent = newRegressionTests("calls on "+route, weight, j.errorMargin, j.horizon)
		r.historical = j.newRouteHistorical(route)
	}
	j.byRoute[route] = r
	return r
}

// sortedRoutes returns the routes in order of name, so that the judge is deterministic.
func (j *Judge) sortedRoutes() []*routeEvidence {
	list := make([]*routeEvidence, 0, len(j.byRoute))
	for _, r := range j.byRoute {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}
