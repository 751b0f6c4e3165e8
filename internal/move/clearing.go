package move

import "samphireflow/internal/move/sequential"

// clearing is the evidence that the new version is not worse, over all routes.
//
// A block counts once the old version has gone on answering well for some calls: while something beneath fails, calls
// say nothing about the new version, and it takes some calls to see that it does.
type clearing struct {
	errors *sequential.Clearance
	slow   *sequential.Clearance
	// The stage parts begin anew with each stage.
	stageErrors *sequential.Clearance
	stageSlow   *sequential.Clearance
	stageCoarse *sequential.Clearance

	recent   *sequential.Rate
	oldCalls uint64
	waiting  []waitingBlock
	// oldCounted and oldBad count the old version's calls in the blocks that counted.
	oldCounted uint64
	oldBad     uint64
}

// waitingBlock is a block of calls that may count later.
type waitingBlock struct {
	record *record
	block  sequential.Block
	// rate is the old version's rate on the route, and at its count of calls, at the end of the block.
	rate float64
	at   uint64
}

func newClearing(errorMargin float64) *clearing {
	return &clearing{
		errors:      sequential.NewClearance(errorMargin),
		slow:        sequential.NewClearance(slowMargin),
		stageErrors: sequential.NewClearance(errorMargin),
		stageSlow:   sequential.NewClearance(slowMargin),
		stageCoarse: sequential.NewClearance(coarseMargin),
		recent:      sequential.NewRate(recentMemory),
	}
}

// observeErrors takes in a block of calls on a route.
func (c *clearing) observeErrors(r *record, block sequential.Block) {
	c.recent.Add(block.OldCalls, block.OldBad)
	c.oldCalls += block.OldCalls
	c.waiting = append(c.waiting, waitingBlock{r, block, r.oldErrors.Mean(), c.oldCalls})
	if c.failing() {
		c.waiting = nil
	}
	c.count(recentMemory)
}

// failing reports whether calls of the old version fail now, so often that the new one cannot be told from it.
func (c *clearing) failing() bool {
	return c.oldCalls >= leastRecentCalls && c.recent.Raw() >= brokenBothRate
}

// count takes in the blocks after which the old version has answered the given count of calls.
func (c *clearing) count(calls uint64) {
	for len(c.waiting) > 0 && c.oldCalls-c.waiting[0].at >= calls {
		w := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.oldCounted += w.block.OldCalls
		c.oldBad += w.block.OldBad
		for _, clearance := range []*sequential.Clearance{c.errors, c.stageErrors, c.stageCoarse, w.record.cleared} {
			clearance.Observe(w.block.NewCalls, w.block.NewBad, w.rate)
		}
	}
}

func (c *clearing) observeSlow(calls, slow uint64, oldRate float64) {
	c.slow.Observe(calls, slow, oldRate)
	c.stageSlow.Observe(calls, slow, oldRate)
}

// oldRate is the old version's error rate over the blocks that counted.
func (c *clearing) oldRate() float64 {
	return float64(c.oldBad) / float64(max(c.oldCounted, 1))
}

// nextStage counts what waits for the stage that ends, and begins the evidence of a stage anew.
func (c *clearing) nextStage() {
	c.count(0)
	c.stageErrors.Reset()
	c.stageSlow.Reset()
	c.stageCoarse.Reset()
}
