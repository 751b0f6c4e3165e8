package local

import (
	"math"
	"time"

	"samphireflow/internal/move/sequential"
)

const (
	// fullShare is the whole of a service's calls, in basis points.
	fullShare = 10000
	// falseAlarmRate bounds the probability that a version as good as the old one is paused in one attempt.
	falseAlarmRate = 0.001
	// blockTime is the shortest time of calls that are compared.
	blockTime = 250 * time.Millisecond
	// longestBlock is the time after which a block ends though one version had no calls.
	longestBlock = 10 * time.Second
	// horizon is the count of blocks over which badness is expected to start.
	horizon = 240
	// rateMemory is the count of calls after which older ones weigh half in the rate of the old version.
	rateMemory = 500
	// firstPause and longestPause bound the time without calls to the new version; each pause doubles the next.
	firstPause   = 10 * time.Second
	longestPause = 5 * time.Minute
	// wholeMargin is the rise of the rate of bad calls that counts when the old version has no calls to compare with.
	wholeMargin = 0.2
)

// rises are the rises of the rate of bad calls that a node acts on by itself.
var rises = []float64{0.15, 0.5}

// Breaker watches the calls of one node during one move. It belongs to one goroutine.
type Breaker struct {
	evidence *sequential.Comparison
	block    sequential.Block
	opened   time.Time
	old      *sequential.Rate
	// pausedUntil is zero while the new version gets calls.
	pausedUntil time.Time
	pause       time.Duration
}

// NewBreaker returns a breaker that lets calls pass.
func NewBreaker(now time.Time) *Breaker {
	return &Breaker{evidence: sequential.NewComparison(rises, horizon), opened: now, old: sequential.NewRate(rateMemory), pause: firstPause}
}

// Record takes in the outcome of a call to one of the two versions.
func (b *Breaker) Record(now time.Time, ofNew, bad bool) {
	calls, failed := &b.block.OldCalls, &b.block.OldBad
	if ofNew {
		calls, failed = &b.block.NewCalls, &b.block.NewBad
	}
	*calls++
	if bad {
		*failed++
	}
}

// Limit returns the share that the new version may get on this node, in basis points: never more than the given one.
func (b *Breaker) Limit(now time.Time, share uint32) uint32 {
	b.closeBlock(now, share)
	if now.Before(b.pausedUntil) {
		return 0
	}
	return share
}

func (b *Breaker) closeBlock(now time.Time, share uint32) {
	age := now.Sub(b.opened)
	complete := b.block.Comparable() || share >= fullShare
	if age < blockTime || (!complete && age < longestBlock) {
		return
	}
	block := b.block
	b.block = sequential.Block{}
	b.opened = now
	if share >= fullShare {
		b.evidence.ObserveAgainst(block.NewCalls, block.NewBad, b.old.Mean()+wholeMargin)
	} else {
		b.evidence.Observe(block, b.old.Mean())
	}
	b.old.Add(block.OldCalls, block.OldBad)
	if b.evidence.Log() >= math.Log(1/falseAlarmRate) {
		b.trip(now)
	}
}

// trip starts a pause; the evidence after it is gathered anew.
func (b *Breaker) trip(now time.Time) {
	b.pausedUntil = now.Add(b.pause)
	b.pause = min(2*b.pause, longestPause)
	b.evidence = sequential.NewComparison(rises, horizon)
}
