package move

import (
	"fmt"
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// maxShortLength is the longest time from start to deadline of a move that a shortJudge evaluates. The stages and tests
	// of a Judge need minutes of calls.
	maxShortLength = 2 * time.Minute
	// shortRise is the rise of the rate of failed or slow calls that a shortJudge looks for; half of it is tolerated. It is
	// far above the margin of longer moves, because calls of a few seconds cannot distinguish smaller rises from chance.
	shortRise = 0.15
	// shortRollbackDeviations is the number of standard deviations above the tolerated rate from which a move is rolled
	// back.
	shortRollbackDeviations = 3
	// shortHoldDeviations is the number of standard deviations from which the share is not raised.
	shortHoldDeviations = 1.5
	// shortMinBadCalls is the number of bad calls from which a move can be rolled back.
	shortMinBadCalls = 4
	// shortMinCalls is the number of calls of the new version that the full share requires.
	shortMinCalls = 20
	// slowBuckets is the number of duration buckets above the old version's median from which a call counts as slow. The
	// bounds double from bucket to bucket, so such a call took at least four times as long.
	slowBuckets = 3
	// shortWarmUpTime is the time after the last start of a backend server during which slow calls are ignored.
	shortWarmUpTime = 4 * time.Second
	// shortWindow is the length of the sliding window in which calls of the two versions are compared.
	shortWindow = 4 * time.Second
)

// shortStage is the share that the new version gets from a point of the move's time on.
type shortStage struct {
	// from is a fraction of the time from the start to the deadline.
	from float64
	// share is in basis points.
	share uint32
}

// shortStages keep a version that fails late or under load below a tenth of all calls: 4% for half of the time, 8% for
// a quarter and 20% for a tenth add up to 6% of the calls by the time of the full share.
var shortStages = []shortStage{{0, 400}, {0.5, 800}, {0.72, 2000}, {0.82, fullShare}}

// shortRoute is the evidence of a shortJudge on one route.
type shortRoute struct {
	// recent holds the reports within shortWindow, total the sum over the whole move, both by side.
	recent [2][]timedCounts
	total  [2]Counts
}

// timedCounts is one report with its time.
type timedCounts struct {
	at     time.Time
	counts Counts
}

// shortJudge evaluates moves of seconds up to two minutes. It compares calls of both versions in the same few seconds, so
// that a fault of both does not cause a rollback. It keeps the share small until shortly before the deadline, because a
// version may start to fail late.
type shortJudge struct {
	routes map[string]*shortRoute
	// firstSeen is when the judge first saw the move. Time since then is taken from the monotonic clock.
	firstSeen time.Time
	// ageWhenSeen is the age of the move at firstSeen.
	ageWhenSeen time.Duration
}

func newShortJudge(now time.Time, move *apiv1.Move) *shortJudge {
	length := time.Duration(move.DeadlineUnixMs-move.StartedUnixMs) * time.Millisecond
	ageWhenSeen := now.Sub(time.UnixMilli(move.StartedUnixMs))
	if ageWhenSeen < 0 || ageWhenSeen > length {
		// The clocks of control instances may differ by more than the length of the move, so the age is unknown.
		ageWhenSeen = 0
	}
	return &shortJudge{routes: map[string]*shortRoute{}, firstSeen: now, ageWhenSeen: ageWhenSeen}
}

// isShort reports whether a move is so short that a shortJudge evaluates it.
func isShort(move *apiv1.Move) bool {
	return time.Duration(move.DeadlineUnixMs-move.StartedUnixMs)*time.Millisecond <= maxShortLength
}

// Observe adds the outcomes of one version on one route. It does not distinguish failure domains, as the calls of seconds
// are too few.
func (j *shortJudge) Observe(now time.Time, side Side, route, _ string, counts Counts) {
	r := j.routes[route]
	if r == nil {
		r = &shortRoute{}
		j.routes[route] = r
	}
	r.total[side].Add(counts)
	r.recent[side] = append(r.recent[side], timedCounts{now, counts})
}

// Decide returns the next step of a move, or why there is none.
func (j *shortJudge) Decide(now time.Time, move *apiv1.Move, status *ServiceStatus) Decision {
	length := float64(move.DeadlineUnixMs-move.StartedUnixMs) * float64(time.Millisecond)
	elapsed := float64(now.Sub(j.firstSeen)+j.ageWhenSeen) / length
	warm := now.Sub(status.LastStart) >= shortWarmUpTime
	worst := j.worstFinding(now, warm)
	d := &decider{now: now, move: move, status: status}
	calls := j.calls(NewVersion)
	evidence := fmt.Sprintf("%s of %d calls; %s", move.ToVersion, calls, worst.text)
	switch {
	case worst.bad >= shortMinBadCalls && worst.deviations >= shortRollbackDeviations:
		return d.step(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 0, evidence)
	case move.State == apiv1.MoveState_MOVE_STATE_WATCHING:
		if now.Sub(time.UnixMilli(move.StageUnixMs)) < time.Duration(move.Policy.WatchMs)*time.Millisecond && elapsed < 1 {
			return d.hold("whole, and still watched: %s", evidence)
		}
		return d.step(apiv1.MoveState_MOVE_STATE_DONE, fullShare, evidence)
	case elapsed >= 1:
		return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "not whole by the deadline: "+evidence)
	}
	return j.advance(d, elapsed, worst, calls, evidence)
}

// advance returns the step to the stage that is due, or why the move stays at its share.
func (j *shortJudge) advance(d *decider, elapsed float64, worst shortFinding, calls uint64, evidence string) Decision {
	due := 0
	for i, stage := range shortStages {
		if elapsed >= stage.from {
			due = i
		}
	}
	stage := shortStages[due]
	switch {
	case stage.share <= d.move.ShareBp:
		return d.hold("stage goes on by plan: %s", evidence)
	case d.status.ReadyNew == 0:
		return d.hold("no backend server of %s is ready", d.move.ToVersion)
	case worst.bad >= 2 && worst.deviations >= shortHoldDeviations:
		return d.hold("there is doubt: %s", evidence)
	case stage.share == fullShare && calls < shortMinCalls:
		return d.hold("evidence is thin: %s", evidence)
	}
	state := apiv1.MoveState_MOVE_STATE_RUNNING
	if stage.share == fullShare {
		state = apiv1.MoveState_MOVE_STATE_WATCHING
	}
	decision := d.step(state, stage.share, evidence)
	decision.Step.Stage = uint32(due + 1)
	return decision
}

// calls returns the number of calls of a version on all routes.
func (j *shortJudge) calls(side Side) uint64 {
	var sum uint64
	for _, r := range j.routes {
		sum += r.total[side].OK + r.total[side].Errors + r.total[side].Broken
	}
	return sum
}

// shortFinding is a comparison of the two versions.
type shortFinding struct {
	// deviations is the number of standard deviations by which the new version is above the tolerated rate.
	deviations float64
	// bad is the number of bad calls of the new version.
	bad  uint64
	text string
}

// worstFinding returns the finding with the most standard deviations among those of all routes together and of each route
// alone. A version may fail on one route only. Slow calls are ignored unless the backend servers are warm.
func (j *shortJudge) worstFinding(now time.Time, warm bool) shortFinding {
	worst := shortFinding{text: "nothing stands out"}
	var failures, slow [4]uint64
	for route, r := range j.routes {
		r.dropStale(now)
		f, s := r.failures(), r.slow()
		for i := range f {
			failures[i] += f[i]
			slow[i] += s[i]
		}
		worst = moreDeviating(worst, "failed on "+route, f)
		if warm {
			worst = moreDeviating(worst, "slow on "+route, s)
		}
	}
	worst = moreDeviating(worst, "failed", failures)
	if warm {
		worst = moreDeviating(worst, "slow", slow)
	}
	return worst
}

// moreDeviating returns worst, or the finding of the counts n if it deviates more. The four counts are calls and bad calls
// of the new version, then of the old one.
func moreDeviating(worst shortFinding, failure string, n [4]uint64) shortFinding {
	deviations := standardDeviations(n)
	if deviations <= worst.deviations {
		return worst
	}
	return shortFinding{deviations: deviations, bad: n[1], text: fmt.Sprintf("%d of %d %s, of the old version %d of %d", n[1], n[0], failure, n[3], n[2])}
}

// standardDeviations returns by how many standard deviations the rate of the new version is above the rate of the old one
// plus half of shortRise. The old rate is smoothed a little towards 0.1, so that few calls do not make it look certain.
func standardDeviations(n [4]uint64) float64 {
	if n[0] == 0 {
		return 0
	}
	newRate := float64(n[1]) / float64(n[0])
	oldRate := (float64(n[3]) + 0.5) / (float64(n[2]) + 5)
	rateBound := min(oldRate+shortRise/2, 0.99)
	return (newRate - rateBound) / math.Sqrt(rateBound*(1-rateBound)/float64(n[0]))
}

// dropStale drops the reports that are older than shortWindow.
func (r *shortRoute) dropStale(now time.Time) {
	for side := range r.recent {
		kept := r.recent[side]
		for len(kept) > 0 && now.Sub(kept[0].at) > shortWindow {
			kept = kept[1:]
		}
		r.recent[side] = kept
	}
}

func (r *shortRoute) recentSum(side Side) Counts {
	var sum Counts
	for _, one := range r.recent[side] {
		sum.Add(one.counts)
	}
	return sum
}

// failures returns calls and failed calls within the window, of the new version and then of the old one.
func (r *shortRoute) failures() [4]uint64 {
	n, o := r.recentSum(NewVersion), r.recentSum(OldVersion)
	return [4]uint64{n.OK + n.Errors + n.Broken, n.Errors + n.Broken, o.OK + o.Errors + o.Broken, o.Errors + o.Broken}
}

// slow returns calls and slow calls within the window, of the new version and then of the old one. Slow is relative to the
// old version's median over the whole move.
func (r *shortRoute) slow() [4]uint64 {
	median := r.total[OldVersion].median()
	if median < 0 {
		return [4]uint64{}
	}
	n, o := r.recentSum(NewVersion), r.recentSum(OldVersion)
	return [4]uint64{n.WithDuration(), n.Above(median + slowBuckets - 1), o.WithDuration(), o.Above(median + slowBuckets - 1)}
}

// median returns the bucket that holds the median, -1 without calls.
func (c *Counts) median() int {
	half := (c.WithDuration() + 1) / 2
	if half == 0 {
		return -1
	}
	var sum uint64
	for i, n := range c.Buckets {
		sum += n
		if sum >= half {
			return i
		}
	}
	return bucketCount - 1
}
