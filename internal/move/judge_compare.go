package move

import (
	"time"
)

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
