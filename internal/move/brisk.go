package move

import (
	"fmt"
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// briskLength is the length of a move below which the brisk judge takes it: the stages and tests of the other one need
	// minutes of calls.
	briskLength = 2 * time.Minute
	// briskRise is the rise of the rate of failed or of slow calls that counts as bad. It is far above the margin of longer
	// moves: within seconds nothing smaller can be told from chance.
	briskRise = 0.15
	// briskCertainty is the number of standard deviations by which the rise must stand out.
	briskCertainty = 3
	// briskDoubt is the same for holding the share where it is.
	briskDoubt = 1.5
	// briskLeastBad is the count of bad calls from which a version can be taken back.
	briskLeastBad = 4
	// briskLeastCalls is the count of calls of the new version without which it does not become whole.
	briskLeastCalls = 20
	// slowBuckets is the number of duration buckets, each twice as long as the one before, above the old version's
	// median from which a call counts as slow: at least four times as long.
	slowBuckets = 3
	// briskWarmth is the time from the start of a backend server in which its calls do not count as slow.
	briskWarmth = 4 * time.Second
	// briskMemory is the time over which the calls of the two versions are compared.
	briskMemory = 4 * time.Second
)

// briskStage is a share of the calls from a part of the move's time on.
type briskStage struct {
	from  float64
	share uint32
}

// briskStages keep the sum of what a version gets that turns bad late or under load below a tenth of all calls: 4% for
// half of the time, 8% for a quarter and 20% for a tenth are 6% by the time at which the version becomes whole.
var briskStages = []briskStage{{0, 400}, {0.5, 800}, {0.72, 2000}, {0.82, fullShare}}

// briskRoute is the evidence on one route: counts of the present interval and of some before it.
type briskRoute struct {
	recent [2][]briskCount
	total  [2]Counts
}

// briskCount is what was reported at one time.
type briskCount struct {
	at     time.Time
	counts Counts
}

// briskJudge judges moves of seconds. It compares what both versions did in the same few seconds, so that what ails
// both is blamed on neither, and holds the share small until shortly before the deadline, as a version may turn bad late.
type briskJudge struct {
	routes map[string]*briskRoute
	// seen is when the judge first saw the move; since then only the steady clock counts.
	seen time.Time
	// age is the age of the move at that time.
	age time.Duration
}

func newBriskJudge(now time.Time, move *apiv1.Move) *briskJudge {
	length := time.Duration(move.DeadlineUnixMs-move.StartedUnixMs) * time.Millisecond
	age := now.Sub(time.UnixMilli(move.StartedUnixMs))
	if age < 0 || age > length {
		// The clocks of control instances may differ by more than the length of the move.
		age = 0
	}
	return &briskJudge{routes: map[string]*briskRoute{}, seen: now, age: age}
}

// isBrisk reports whether a move is so short that the brisk judge takes it.
func isBrisk(move *apiv1.Move) bool {
	return time.Duration(move.DeadlineUnixMs-move.StartedUnixMs)*time.Millisecond <= briskLength
}

// Observe takes in the outcomes of one version on one route. Within seconds failure domains are not told apart.
func (j *briskJudge) Observe(now time.Time, side Side, route, _ string, counts Counts) {
	r := j.routes[route]
	if r == nil {
		r = &briskRoute{}
		j.routes[route] = r
	}
	r.total[side].Add(counts)
	r.recent[side] = append(r.recent[side], briskCount{now, counts})
}

// Decide returns the next step of a move, or why there is none.
func (j *briskJudge) Decide(now time.Time, move *apiv1.Move, situation *Situation) Decision {
	length := float64(move.DeadlineUnixMs-move.StartedUnixMs) * float64(time.Millisecond)
	at := float64(now.Sub(j.seen)+j.age) / length
	warm := now.Sub(situation.LastStart) >= briskWarmth
	worst := j.worst(now, warm)
	d := &deciding{now: now, move: move, situation: situation}
	calls := j.calls(NewVersion)
	evidence := fmt.Sprintf("%s of %d calls; %s", move.ToVersion, calls, worst.text)
	switch {
	case worst.bad >= briskLeastBad && worst.deviations >= briskCertainty:
		return d.step(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 0, evidence)
	case move.State == apiv1.MoveState_MOVE_STATE_WATCHING:
		if now.Sub(time.UnixMilli(move.StageUnixMs)) < time.Duration(move.Policy.WatchMs)*time.Millisecond && at < 1 {
			return d.hold("whole, and still watched: %s", evidence)
		}
		return d.step(apiv1.MoveState_MOVE_STATE_DONE, fullShare, evidence)
	case at >= 1:
		return d.step(apiv1.MoveState_MOVE_STATE_EXPIRED, 0, "not whole by the deadline: "+evidence)
	}
	return j.forward(d, at, worst, calls, evidence)
}

// forward goes to the stage that is due.
func (j *briskJudge) forward(d *deciding, at float64, worst briskFinding, calls uint64, evidence string) Decision {
	due := 0
	for i, stage := range briskStages {
		if at >= stage.from {
			due = i
		}
	}
	stage := briskStages[due]
	switch {
	case stage.share <= d.move.ShareBp:
		return d.hold("stage goes on by plan: %s", evidence)
	case d.situation.ReadyNew == 0:
		return d.hold("no backend server of %s is ready", d.move.ToVersion)
	case worst.bad >= 2 && worst.deviations >= briskDoubt:
		return d.hold("there is doubt: %s", evidence)
	case stage.share == fullShare && calls < briskLeastCalls:
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

// calls counts the calls of a version on all routes.
func (j *briskJudge) calls(side Side) uint64 {
	var sum uint64
	for _, r := range j.routes {
		sum += r.total[side].OK + r.total[side].Errors + r.total[side].Broken
	}
	return sum
}

// briskFinding is how far the new version stands out.
type briskFinding struct {
	deviations float64
	bad        uint64
	text       string
}

// worst returns the finding that stands out most, over all routes together and over each by itself: a version may be
// bad on one route only.
func (j *briskJudge) worst(now time.Time, warm bool) briskFinding {
	worst := briskFinding{text: "nothing stands out"}
	var failures, slow [4]uint64
	for route, r := range j.routes {
		r.forget(now)
		f, s := r.failures(), r.slow()
		for i := range f {
			failures[i] += f[i]
			slow[i] += s[i]
		}
		worst = worse(worst, "failed on "+route, f)
		if warm {
			worst = worse(worst, "slow on "+route, s)
		}
	}
	worst = worse(worst, "failed", failures)
	if warm {
		worst = worse(worst, "slow", slow)
	}
	return worst
}

// worse compares a finding with that of four counts: calls and bad calls of the new version, and of the old one.
func worse(worst briskFinding, what string, n [4]uint64) briskFinding {
	deviations := deviationsOf(n)
	if deviations <= worst.deviations {
		return worst
	}
	return briskFinding{deviations: deviations, bad: n[1], text: fmt.Sprintf("%d of %d %s, of the old version %d of %d", n[1], n[0], what, n[3], n[2])}
}

// deviationsOf tells by how many standard deviations the rate of the new version is above that of the old one and the
// rise that is tolerated. The old rate is drawn a little towards the middle, so that few calls claim no certainty.
func deviationsOf(n [4]uint64) float64 {
	if n[0] == 0 {
		return 0
	}
	newRate := float64(n[1]) / float64(n[0])
	oldRate := (float64(n[3]) + 0.5) / (float64(n[2]) + 5)
	against := min(oldRate+briskRise/2, 0.99)
	return (newRate - against) / math.Sqrt(against*(1-against)/float64(n[0]))
}

// forget drops the counts that are too old to be compared.
func (r *briskRoute) forget(now time.Time) {
	for side := range r.recent {
		kept := r.recent[side]
		for len(kept) > 0 && now.Sub(kept[0].at) > briskMemory {
			kept = kept[1:]
		}
		r.recent[side] = kept
	}
}

func (r *briskRoute) sum(side Side) Counts {
	var sum Counts
	for _, one := range r.recent[side] {
		sum.Add(one.counts)
	}
	return sum
}

func (r *briskRoute) failures() [4]uint64 {
	n, o := r.sum(NewVersion), r.sum(OldVersion)
	return [4]uint64{n.OK + n.Errors + n.Broken, n.Errors + n.Broken, o.OK + o.Errors + o.Broken, o.Errors + o.Broken}
}

// slow counts the calls far above the old version's median over the whole move.
func (r *briskRoute) slow() [4]uint64 {
	median := r.total[OldVersion].median()
	if median < 0 {
		return [4]uint64{}
	}
	n, o := r.sum(NewVersion), r.sum(OldVersion)
	return [4]uint64{n.Timed(), n.Above(median + slowBuckets - 1), o.Timed(), o.Above(median + slowBuckets - 1)}
}

// median returns the bucket that holds the median, -1 without calls.
func (c *Counts) median() int {
	half := (c.Timed() + 1) / 2
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
