package move

import (
	"time"

	"samphireflow/internal/move/sequential"
)

// routeEvidence is the evidence of a Judge on one route.
type routeEvidence struct {
	name string
	// concurrent and historical are nil for routes beyond Judge.maxRoutes. Calls on these count only in the tests over
	// all routes.
	concurrent *regressionTests
	historical *regressionTests

	// openBlock counts the calls of the current block by side, until the block is closed and passed to the tests.
	openBlock  [2]Counts
	blockStart time.Time
	// durationsUsable says whether the call durations of the open block are compared.
	durationsUsable bool

	// oldErrors is the running error rate of the old version, oldDurations its running distribution of durations.
	oldErrors    *sequential.Rate
	oldDurations histogram
	// nonInferiority tests that the new version is not worse on this route alone.
	nonInferiority *sequential.NonInferiority
	oldCalls       uint64
}

func newRouteEvidence(name string, errorMargin float64) *routeEvidence {
	return &routeEvidence{
		name:           name,
		oldErrors:      sequential.NewRate(rateDecayCalls),
		nonInferiority: sequential.NewNonInferiority(max(routeMargin, errorMargin)),
	}
}

// errorCounts returns the number of calls and of failed ones. It leaves out broken calls, which the crash test covers.
func errorCounts(c *Counts) (calls, bad uint64) {
	return c.OK + c.Errors, c.Errors
}

func errorBlock(counts *[2]Counts) sequential.Block {
	var block sequential.Block
	block.NewCalls, block.NewBad = errorCounts(&counts[NewVersion])
	block.OldCalls, block.OldBad = errorCounts(&counts[OldVersion])
	return block
}

// slowBlock returns a block in which calls in buckets above the given one are bad.
func slowBlock(counts *[2]Counts, bucket int) sequential.Block {
	return sequential.Block{
		NewCalls: counts[NewVersion].WithDuration(),
		NewBad:   counts[NewVersion].Above(bucket),
		OldCalls: counts[OldVersion].WithDuration(),
		OldBad:   counts[OldVersion].Above(bucket),
	}
}

// blockComplete reports whether the open block may be closed. At full share there are no calls of the old version to wait
// for.
func (r *routeEvidence) blockComplete(now time.Time, atFullShare bool) bool {
	age := now.Sub(r.blockStart)
	newCalls, _ := errorCounts(&r.openBlock[NewVersion])
	oldCalls, _ := errorCounts(&r.openBlock[OldVersion])
	if newCalls+oldCalls == 0 {
		return false
	}
	if newCalls > 0 && (atFullShare || oldCalls > 0) {
		return age >= minBlockTime
	}
	return age >= maxBlockTime
}

// thresholds returns the buckets above which a call is slow, for the median and for the tail; ok is false while the old
// version has had too few calls.
func (r *routeEvidence) thresholds(ratioBuckets int) (median, tail int, ok bool) {
	if r.oldDurations.total < minDurationCalls {
		return 0, 0, false
	}
	return r.oldDurations.quantile(medianQuantile) + ratioBuckets, r.oldDurations.quantile(tailQuantile) + ratioBuckets, true
}
