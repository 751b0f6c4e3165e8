package move

import (
	"time"
)

func (j *Judge) closeCompleteBlocks(now time.Time) {
	for _, r := range j.sortedRoutes() {
		if r.blockComplete(now, j.atFullShare) {
			j.closeBlock(r)
		}
	}
}

// closeBlock gives the open block of a route to the tests and starts a new one.
func (j *Judge) closeBlock(r *routeEvidence) {
	counts := r.openBlock
	r.openBlock = [2]Counts{}
	j.stale = true
	if j.atFullShare {
		j.observeErrorsAtFullShare(r, &counts)
	} else {
		j.observeErrors(r, &counts)
	}
	if median, tail, ok := r.thresholds(j.ratioBuckets); ok && r.durationsUsable {
		j.observeDurations(r, &counts, median, tail)
	}
	if !j.atFullShare {
		r.oldDurations.add(counts[OldVersion])
	}
}

// durationsUsable reports whether call durations are comparable now. They are not while backend servers warm up or just
// after a change of the share.
func (j *Judge) durationsUsable(now time.Time) bool {
	return j.warmUp.complete(now) && now.Sub(j.shareSince) >= settleTime
}

func (j *Judge) observeErrors(r *routeEvidence, counts *[2]Counts) {
	block := errorBlock(counts)
	oldRate := r.oldErrors.Mean()
	for _, tests := range testsOf(j.concurrent, r.concurrent) {
		tests.errors.Observe(block, oldRate)
	}
	r.oldErrors.Add(block.OldCalls, block.OldBad)
	r.oldCalls += block.OldCalls
	j.nonInferiority.observeErrors(r, block)
}

// observeErrorsAtFullShare compares the new version with the earlier error rate of the old one plus half of the margin.
// Each crash counts as one bad call here, because the crash test needs calls of both versions.
func (j *Judge) observeErrorsAtFullShare(r *routeEvidence, counts *[2]Counts) {
	calls, bad := errorCounts(&counts[NewVersion])
	calls, bad = calls+counts[NewVersion].Broken, bad+counts[NewVersion].Broken
	rateBound := r.oldErrors.Mean() + j.errorMargin/2
	for _, tests := range testsOf(j.historical, r.historical) {
		tests.errors.ObserveAgainst(calls, bad, rateBound)
	}
}

// observeDurations compares the calls above two duration buckets: one for the median and one for the tail.
func (j *Judge) observeDurations(r *routeEvidence, counts *[2]Counts, medianBucket, tailBucket int) {
	medianBlock, tailBlock := slowBlock(counts, medianBucket), slowBlock(counts, tailBucket)
	medianRate, tailRate := r.oldDurations.shareAbove(medianBucket), r.oldDurations.shareAbove(tailBucket)
	if j.atFullShare {
		medianRate, tailRate = medianRate+medianRises[0]/2, tailRate+tailRises[0]/2
		for _, tests := range testsOf(j.historical, r.historical) {
			tests.median.ObserveAgainst(medianBlock.NewCalls, medianBlock.NewBad, medianRate)
			tests.tail.ObserveAgainst(tailBlock.NewCalls, tailBlock.NewBad, tailRate)
		}
		return
	}
	for _, tests := range testsOf(j.concurrent, r.concurrent) {
		tests.median.Observe(medianBlock, medianRate)
		tests.tail.Observe(tailBlock, tailRate)
	}
	j.nonInferiority.observeSlow(medianBlock.NewCalls, medianBlock.NewBad, medianRate)
}

// testsOf lists the tests over all routes and those of one route, which may be nil.
func testsOf(all, route *regressionTests) []*regressionTests {
	if route == nil {
		return []*regressionTests{all}
	}
	return []*regressionTests{all, route}
}
