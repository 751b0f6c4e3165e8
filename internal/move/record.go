package move

import (
	"time"

	"samphireflow/internal/move/sequential"
)

// record is what a judge knows about one route.
type record struct {
	name string
	// own is nil for a route beyond those that the judge planned for; its calls count for all routes together.
	own   *suite
	watch *suite

	// pending counts the calls of the open block by side.
	pending [2]Counts
	opened  time.Time
	// timed says that the open block's durations are judged.
	timed bool

	// oldErrors is the running error rate of the old version, durations its running distribution of durations.
	oldErrors *sequential.Rate
	durations histogram
	// cleared is the evidence that the route by itself is not worse.
	cleared  *sequential.Clearance
	oldCalls uint64
}

func newRecord(name string, errorMargin float64) *record {
	return &record{
		name:      name,
		oldErrors: sequential.NewRate(rateMemory),
		cleared:   sequential.NewClearance(max(routeMargin, errorMargin)),
	}
}

// errorCounts returns the calls and the failed ones. Broken calls are left to the comparison of deaths.
func errorCounts(c *Counts) (calls, bad uint64) {
	return c.OK + c.Errors, c.Errors
}

func errorBlock(pending *[2]Counts) sequential.Block {
	var block sequential.Block
	block.NewCalls, block.NewBad = errorCounts(&pending[NewVersion])
	block.OldCalls, block.OldBad = errorCounts(&pending[OldVersion])
	return block
}

// slowBlock counts calls above a bucket as bad.
func slowBlock(pending *[2]Counts, bucket int) sequential.Block {
	return sequential.Block{
		NewCalls: pending[NewVersion].Timed(),
		NewBad:   pending[NewVersion].Above(bucket),
		OldCalls: pending[OldVersion].Timed(),
		OldBad:   pending[OldVersion].Above(bucket),
	}
}

// due reports whether the open block may be closed. A whole move has no calls of the old version to wait for.
func (r *record) due(now time.Time, whole bool) bool {
	age := now.Sub(r.opened)
	newCalls, _ := errorCounts(&r.pending[NewVersion])
	oldCalls, _ := errorCounts(&r.pending[OldVersion])
	if newCalls+oldCalls == 0 {
		return false
	}
	if newCalls > 0 && (whole || oldCalls > 0) {
		return age >= blockTime
	}
	return age >= longestBlock
}

// thresholds returns the buckets above which a call is slow, for the median and for the tail; false while the old
// version has had too few calls.
func (r *record) thresholds(ratioBuckets int) (median, tail int, ok bool) {
	if r.durations.total < quorumCalls {
		return 0, 0, false
	}
	return r.durations.quantile(medianQuantile) + ratioBuckets, r.durations.quantile(tailQuantile) + ratioBuckets, true
}
