package claim

import (
	apiv1 "samphireflow/api/v1"
)

// tally counts the votes of one round.
type tally struct {
	holders      int
	pending      int
	granted      int
	taken        int
	full         int
	stale        int
	mismatch     bool
	finishedCall *apiv1.StoredCall
}

func newTally(holders int) *tally {
	return &tally{holders: holders, pending: holders}
}

// add counts the response of one holder; nil stands for a holder that did not respond.
func (t *tally) add(response *apiv1.ClaimResponse) {
	t.pending--
	switch response.GetStatus() {
	case apiv1.ClaimStatus_CLAIM_STATUS_GRANTED:
		t.granted++
	case apiv1.ClaimStatus_CLAIM_STATUS_TAKEN:
		t.taken++
	case apiv1.ClaimStatus_CLAIM_STATUS_FINISHED:
		t.finishedCall = response.Call
	case apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH:
		t.mismatch = true
	case apiv1.ClaimStatus_CLAIM_STATUS_FULL:
		t.full++
	case apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS:
		t.stale++
	}
}

// decided reports whether further votes cannot change the result.
func (t *tally) decided() bool {
	return t.pending == 0 || t.granted >= Quorum(t.holders) || t.finishedCall != nil || t.mismatch
}

// result returns the result of the votes so far.
func (t *tally) result() voteResult {
	switch {
	case t.granted >= Quorum(t.holders):
		return voteGranted
	case t.finishedCall != nil:
		return voteFinished
	case t.mismatch:
		return voteMismatch
	case t.taken > 0:
		return voteTaken
	case t.full > 0:
		return voteFull
	case t.granted+t.stale >= Quorum(t.holders):
		return voteStale
	}
	return voteUnavailable
}
