package move

import (
	"math"
	"sort"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/move/sequential"
)

// Parts of the false-alarm rate that the groups of tests share.
const (
	comparedPart = 0.5
	watchedPart  = 0.5
	pooledPart   = 0.3
	deathsPart   = 0.2
	routesPart   = 0.5
)

// Bounds of the expected count of blocks of one route.
const (
	leastHorizon   = 60
	largestHorizon = 4096
)

// Judge weighs the outcomes of the calls of one move. It belongs to one goroutine.
type Judge struct {
	plan         plan
	policy       *apiv1.MovePolicy
	ratioBuckets int
	errorMargin  float64
	horizon      int
	routeBudget  int

	records  map[string]*record
	compared *suite
	watched  *suite
	deaths   *sequential.Deaths
	// lastDeath is when the backend servers of a side were last seen to die in a failure domain.
	lastDeath map[deathKey]time.Time

	// comparedFinding and watchedFinding are as of the last closed block; stale says that there is newer evidence.
	comparedFinding finding
	watchedFinding  finding
	stale           bool

	share      uint32
	whole      bool
	shareSince time.Time
	warm       warmth

	clearing  *clearing
	allCalls  uint64
	firstCall time.Time
	// wasWhole says that the move was whole once.
	wasWhole  bool
	newCalls  uint64
	newBad    uint64
	stageBusy time.Duration
}

type deathKey struct {
	side   Side
	domain string
}

// NewJudge returns the judge of a move whose service has the given count of routes.
func NewJudge(move *apiv1.Move, routes int) *Judge {
	policy := move.Policy
	margin := float64(policy.ErrorMarginBp) / fullShare
	j := &Judge{
		plan:         newPlan(time.UnixMilli(move.StartedUnixMs), time.UnixMilli(move.DeadlineUnixMs), policy.FirstShareBp),
		policy:       policy,
		ratioBuckets: ratioBuckets(policy.LatencyRatioPct),
		errorMargin:  margin,
		routeBudget:  max(routes, 1),
		records:      map[string]*record{},
		lastDeath:    map[deathKey]time.Time{},
	}
	j.horizon = horizonOf(j.plan, policy)
	all := j.horizon * j.routeBudget
	j.compared = newSuite("calls", comparedPart*pooledPart, margin, all)
	j.deaths = sequential.NewDeaths(deathOdds, j.horizon)
	j.clearing = newClearing(margin)
	j.forgetWatch()
	j.follow(move)
	return j
}

// forgetWatch drops the evidence of the time in which the move was whole.
func (j *Judge) forgetWatch() {
	j.watched = j.newWatch("calls", pooledPart+deathsPart, j.horizon*j.routeBudget)
	for _, r := range j.records {
		if r.own != nil {
			r.watch = j.newRouteWatch(r.name)
		}
	}
	j.stale = true
}

func (j *Judge) newWatch(subject string, part float64, horizon int) *suite {
	return newSuite(subject+" of the whole move", watchedPart*part, j.errorMargin, horizon)
}

func (j *Judge) newRouteWatch(route string) *suite {
	return j.newWatch("calls on "+route, routesPart/float64(j.routeBudget), j.horizon)
}

// ratioBuckets is the tolerated ratio of durations in buckets, each of which doubles.
func ratioBuckets(percent uint32) int {
	ratio := max(float64(percent)/100, 1)
	return int(math.Ceil(math.Log2(ratio)))
}

func horizonOf(p plan, policy *apiv1.MovePolicy) int {
	length := p.length() + time.Duration(policy.WatchMs)*time.Millisecond
	return int(min(max(length/blockTime, leastHorizon), largestHorizon))
}

// follow takes in a change of the move.
func (j *Judge) follow(move *apiv1.Move) {
	since := time.UnixMilli(move.StageUnixMs)
	if move.ShareBp == j.share && since.Equal(j.shareSince) {
		return
	}
	for _, r := range j.sortedRecords() {
		j.closeBlock(r)
	}
	j.clearing.nextStage()
	j.share = move.ShareBp
	j.whole = move.State == apiv1.MoveState_MOVE_STATE_WATCHING
	j.shareSince = since
	j.stageBusy = 0
	j.wasWhole = j.wasWhole || j.whole
	if !j.whole {
		j.forgetWatch()
	}
}

// Observe takes in reported outcomes of one failure domain on one route.
func (j *Judge) Observe(now time.Time, side Side, route, domain string, counts Counts) {
	if counts.Broken > 0 {
		counts.Broken = j.observeDeath(now, side, domain)
	}
	r := j.record(route, now)
	if r.pending == ([2]Counts{}) {
		r.opened = now
		r.timed = j.durationsCount(now)
	}
	r.pending[side].Add(counts)
	j.stageBusy += counts.Busy()
	calls, bad := errorCounts(&counts)
	if j.allCalls == 0 {
		j.firstCall = now
	}
	j.allCalls += calls
	if side == NewVersion {
		j.newCalls += calls
		j.newBad += bad
		j.warm.calls += calls
	}
}

// observeDeath counts broken calls that come together as one: a backend server that dies breaks all its calls.
func (j *Judge) observeDeath(now time.Time, side Side, domain string) uint64 {
	key := deathKey{side, domain}
	if last, ok := j.lastDeath[key]; ok && now.Sub(last) < blockTime {
		return 0
	}
	j.lastDeath[key] = now
	if !j.whole {
		j.deaths.Observe(side == NewVersion, float64(j.share)/fullShare)
		j.stale = true
	}
	return 1
}

func (j *Judge) record(route string, now time.Time) *record {
	r := j.records[route]
	if r != nil {
		return r
	}
	r = newRecord(route, j.errorMargin)
	r.opened = now
	if len(j.records) < j.routeBudget {
		weight := comparedPart * routesPart / float64(j.routeBudget)
		r.own = newSuite("calls on "+route, weight, j.errorMargin, j.horizon)
		r.watch = j.newRouteWatch(route)
	}
	j.records[route] = r
	return r
}

func (j *Judge) sortedRecords() []*record {
	list := make([]*record, 0, len(j.records))
	for _, r := range j.records {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].name < list[b].name })
	return list
}
