package local

import (
	"math"
	"time"

	"samphireflow/internal/move/sequential"
)

const (
	// fullShare is all calls of a service, in basis points.
	fullShare = 10000
	// falseAlarmRate bounds the probability that a version as good as the old one is paused, counted from the start of the
	// move or the last pause.
	falseAlarmRate = 0.001
	// minBlockTime is the shortest duration of a block of compared calls.
	minBlockTime = 250 * time.Millisecond
	// maxBlockTime is the time after which a block is closed even if one version had no calls.
	maxBlockTime = 10 * time.Second
	// horizon is the number of blocks within which a regression is expected to start.
	horizon = 240
	// rateDecayCalls is the number of calls of the old version that, added at once, halve the weight of the earlier ones in
	// its rate.
	rateDecayCalls = 500
	// minPause and maxPause bound the time without calls to the new version. Each pause is twice as long as the one before.
	minPause = 10 * time.Second
	maxPause = 5 * time.Minute
	// fullShareMargin is added to the earlier rate of the old version when the new one is compared with it at full share,
	// where the old version has no calls.
	fullShareMargin = 0.2
)

// rises are the rises of the rate of bad calls that the test is most sensitive to.
var rises = []float64{0.15, 0.5}

// Breaker is the circuit breaker of one node for one move. It is not safe for concurrent use.
type Breaker struct {
	evidence   *sequential.Comparison
	block      sequential.Block
	blockStart time.Time
	oldRate    *sequential.Rate
	// pausedUntil is the end of the last pause; zero before the first.
	pausedUntil time.Time
	nextPause   time.Duration
}

// NewBreaker returns a closed breaker, which lets calls pass.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{evidence: sequential.NewComparison(rises, horizon), blockStart: now, oldRate: sequential.NewRate(rateDecayCalls), nextPause: minPause}
}

// Record adds the outcome of a call to one of the two versions.
func (b *Breaker) Record(now time.Time, newVersion, bad bool) {
	calls, failed := &b.block.OldCalls, &b.block.OldBad
	if newVersion {
		calls, failed = &b.block.NewCalls, &b.block.NewBad
	}
	*calls++
	if bad {
		*failed++
	}
}

// Limit returns the share that the new version may get on this node, in basis points: the given share, or 0 during a
// pause.
func (b *Breaker) Limit(now time.Time, share uint32) uint32 {
	b.closeBlock(now, share)
	if now.Before(b.pausedUntil) {
		return 0
	}
	return share
}

// closeBlock gives the current block to the test when it is complete, and opens the breaker on enough evidence.
func (b *Breaker) closeBlock(now time.Time, share uint32) {
	age := now.Sub(b.blockStart)
	complete := b.block.Comparable() || share >= fullShare
	if age < minBlockTime || (!complete && age < maxBlockTime) {
		return
	}
	block := b.block
	b.block = sequential.Block{}
	b.blockStart = now
	if share >= fullShare {
		b.evidence.ObserveAgainst(block.NewCalls, block.NewBad, b.oldRate.Mean()+fullShareMargin)
	} else {
		b.evidence.Observe(block, b.oldRate.Mean())
	}
	b.oldRate.Add(block.OldCalls, block.OldBad)
	if b.evidence.LogEvidence() >= math.Log(1/falseAlarmRate) {
		b.open(now)
	}
}

// open stops calls to the new version for a pause and resets the evidence.
func (b *Breaker) open(now time.Time) {
	b.pausedUntil = now.Add(b.nextPause)
	b.nextPause = min(2*b.nextPause, maxPause)
	b.evidence = sequential.NewComparison(rises, horizon)
}
