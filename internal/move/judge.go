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

// closeDue compares the blocks that are complete.
func (j *Judge) closeDue(now time.Time) {
	for _, r := range j.sortedRecords() {
		if r.due(now, j.whole) {
			j.closeBlock(r)
		}
	}
}

// closeBlock takes the open block of a route into the tests.
func (j *Judge) closeBlock(r *record) {
	pending := r.pending
	r.pending = [2]Counts{}
	j.stale = true
	if j.whole {
		j.watchErrors(r, &pending)
	} else {
		j.compareErrors(r, &pending)
	}
	if median, tail, ok := r.thresholds(j.ratioBuckets); ok && r.timed {
		j.judgeDurations(r, &pending, median, tail)
	}
	if !j.whole {
		r.durations.add(pending[OldVersion])
	}
}

// durationsCount reports whether call durations are judged now: not while backend servers warm up or a new share settles.
func (j *Judge) durationsCount(now time.Time) bool {
	return j.warm.over(now) && now.Sub(j.shareSince) >= settleTime
}

func (j *Judge) compareErrors(r *record, pending *[2]Counts) {
	block := errorBlock(pending)
	before := r.oldErrors.Mean()
	for _, s := range suitesOf(j.compared, r.own) {
		s.errors.Observe(block, before)
	}
	r.oldErrors.Add(block.OldCalls, block.OldBad)
	r.oldCalls += block.OldCalls
	j.clearing.observeErrors(r, block)
}

// watchErrors compares the new version with the earlier rate of the old one and half of the margin.
func (j *Judge) watchErrors(r *record, pending *[2]Counts) {
	calls, bad := errorCounts(&pending[NewVersion])
	calls, bad = calls+pending[NewVersion].Broken, bad+pending[NewVersion].Broken
	against := r.oldErrors.Mean() + j.errorMargin/2
	for _, s := range suitesOf(j.watched, r.watch) {
		s.errors.ObserveAgainst(calls, bad, against)
	}
}

// judgeDurations compares the calls above two buckets: one for the median of all calls, one for the slow tail.
func (j *Judge) judgeDurations(r *record, pending *[2]Counts, medianBucket, tailBucket int) {
	median, tail := slowBlock(pending, medianBucket), slowBlock(pending, tailBucket)
	slow, slowTail := r.durations.shareAbove(medianBucket), r.durations.shareAbove(tailBucket)
	if j.whole {
		slow, slowTail = slow+medianRises[0]/2, slowTail+tailRises[0]/2
		for _, s := range suitesOf(j.watched, r.watch) {
			s.median.ObserveAgainst(median.NewCalls, median.NewBad, slow)
			s.tail.ObserveAgainst(tail.NewCalls, tail.NewBad, slowTail)
		}
		return
	}
	for _, s := range suitesOf(j.compared, r.own) {
		s.median.Observe(median, slow)
		s.tail.Observe(tail, slowTail)
	}
	j.clearing.observeSlow(median.NewCalls, median.NewBad, slow)
}

// suitesOf lists the suite of all routes and that of one route, which may be nil.
func suitesOf(all, own *suite) []*suite {
	if own == nil {
		return []*suite{all}
	}
	return []*suite{all, own}
}

// finding is evidence against the new version, as a logarithm, with its main part in words.
type finding struct {
	log  float64
	text string
}

// findings returns the evidence against the new version from calls in the same time as those of the old one, and from
// calls of the whole move against the earlier calls of the old one.
func (j *Judge) findings() (compared, watched finding) {
	if j.stale {
		j.comparedFinding = strongest(j.comparedAlarms())
		j.watchedFinding = strongest(j.watchedAlarms())
		j.stale = false
	}
	return j.comparedFinding, j.watchedFinding
}

func (j *Judge) comparedAlarms() []alarm {
	alarms := j.compared.alarms()
	alarms = append(alarms, alarm{"backend servers die more often", j.deaths.Log() + math.Log(comparedPart*deathsPart)})
	for _, r := range j.sortedRecords() {
		if r.own != nil {
			alarms = append(alarms, r.own.alarms()...)
		}
	}
	return alarms
}

func (j *Judge) watchedAlarms() []alarm {
	alarms := j.watched.alarms()
	for _, r := range j.sortedRecords() {
		if r.own != nil {
			alarms = append(alarms, r.watch.alarms()...)
		}
	}
	return alarms
}
