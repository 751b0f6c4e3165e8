package move

import "samphireflow/internal/move/sequential"

// nonInferiorityTests holds the tests of whether the new version is not worse than the old one, over all routes.
//
// Calls give no evidence on the new version while a fault affects both versions, and such a fault shows only after some
// calls. The tests therefore use a block only when the old version has answered enough calls after it without failing
// often.
type nonInferiorityTests struct {
	// errors and slow cover the whole move.
	errors *sequential.NonInferiority
	slow   *sequential.NonInferiority
	// stageErrors, stageSlow and stageCoarse cover the current stage.
	// stageCoarse tests errors against the larger margin that is used when calls are few.
	stageErrors *sequential.NonInferiority
	stageSlow   *sequential.NonInferiority
	stageCoarse *sequential.NonInferiority

	// recentOldErrors is the recent error rate of the old version.
	recentOldErrors *sequential.Rate
	// oldCalls is the number of calls of the old version in all blocks so far, on all routes.
	oldCalls uint64
	// delayed holds the blocks that the tests have not used yet, oldest first.
	delayed []delayedBlock
	// usedOldCalls and usedOldBad are the calls and bad calls of the old version in the blocks that the tests have used.
	usedOldCalls uint64
	usedOldBad   uint64
}

// delayedBlock is a block of calls that the tests may use later.
type delayedBlock struct {
	route *routeEvidence
	block sequential.Block
	// oldRate is the error rate of the old version on the route at the end of the block.
	oldRate float64
	// oldCalls is the number of calls of the old version, on all routes, at the end of the block.
	oldCalls uint64
}

func newNonInferiorityTests(errorMargin float64) *nonInferiorityTests {
	return &nonInferiorityTests{
		errors:          sequential.NewNonInferiority(errorMargin),
		slow:            sequential.NewNonInferiority(slownessMargin),
		stageErrors:     sequential.NewNonInferiority(errorMargin),
		stageSlow:       sequential.NewNonInferiority(slownessMargin),
		stageCoarse:     sequential.NewNonInferiority(coarseMargin),
		recentOldErrors: sequential.NewRate(recentDecayCalls),
	}
}

// observeErrors adds a block of calls on a route. It discards the delayed blocks if the old version fails too.
func (t *nonInferiorityTests) observeErrors(r *routeEvidence, block sequential.Block) {
	t.recentOldErrors.Add(block.OldCalls, block.OldBad)
	t.oldCalls += block.OldCalls
	t.delayed = append(t.delayed, delayedBlock{r, block, r.oldErrors.Mean(), t.oldCalls})
	if t.oldFailing() {
		t.delayed = nil
	}
	t.releaseDelayed(recentDecayCalls)
}

// oldFailing reports whether recent calls of the old version fail so often that a fault of both versions is likely.
func (t *nonInferiorityTests) oldFailing() bool {
	return t.oldCalls >= minRecentCalls && t.recentOldErrors.Unsmoothed() >= sharedFaultRate
}

// releaseDelayed passes to the tests each delayed block that at least minLaterCalls calls of the old version followed.
func (t *nonInferiorityTests) releaseDelayed(minLaterCalls uint64) {
	for len(t.delayed) > 0 && t.oldCalls-t.delayed[0].oldCalls >= minLaterCalls {
		first := t.delayed[0]
		t.delayed = t.delayed[1:]
		t.usedOldCalls += first.block.OldCalls
		t.usedOldBad += first.block.OldBad
		for _, test := range []*sequential.NonInferiority{t.errors, t.stageErrors, t.stageCoarse, first.route.nonInferiority} {
			test.Observe(first.block.NewCalls, first.block.NewBad, first.oldRate)
		}
	}
}

func (t *nonInferiorityTests) observeSlow(calls, slow uint64, oldRate float64) {
	t.slow.Observe(calls, slow, oldRate)
	t.stageSlow.Observe(calls, slow, oldRate)
}

// oldRate is the error rate of the old version over the blocks that the tests have used.
func (t *nonInferiorityTests) oldRate() float64 {
	return float64(t.usedOldBad) / float64(max(t.usedOldCalls, 1))
}

// nextStage passes all delayed blocks to the tests of the stage that ends, then resets the tests of a stage.
func (t *nonInferiorityTests) nextStage() {
	t.releaseDelayed(0)
	t.stageErrors.Reset()
	t.stageSlow.Reset()
	t.stageCoarse.Reset()
}
