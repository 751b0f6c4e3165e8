package claim

import (
	apiv1 "samphireflow/api/v1"
)

// tally counts the votes of one round.
type tally struct {
	size     int
	left     int
	granted  int
	taken    int
	full     int
	stale    int
	mismatch bool
	call     *apiv1.StoredCall
}

func newTally(size int) *tally {
	return &tally{size: size, left: size}
}

// add counts one holder's answer; nil stands for a holder that did not answer.
func (t *tally) add(response *apiv1.ClaimResponse) {
	t.left--
	switch response.GetStatus() {
	case apiv1.ClaimStatus_CLAIM_STATUS_GRANTED:
		t.granted++
	case apiv1.ClaimStatus_CLAIM_STATUS_TAKEN:
		t.taken++
	case apiv1.ClaimStatus_CLAIM_STATUS_FINISHED:
		t.call = response.Call
	case apiv1.ClaimStatus_CLAIM_STATUS_MISMATCH:
		t.mismatch = true
	case apiv1.ClaimStatus_CLAIM_STATUS_FULL:
		t.full++
	case apiv1.ClaimStatus_CLAIM_STATUS_WRONG_EPOCH, apiv1.ClaimStatus_CLAIM_STATUS_ABSTAINS:
		t.stale++
	}
}

// decided reports whether further votes change nothing.
func (t *tally) decided() bool {
	return t.left == 0 || t.granted >= Quorum(t.size) || t.call != nil || t.mismatch
}

// verdict returns what the votes come to.
func (t *tally) verdict() verdict {
	switch {
	case t.granted >= Quorum(t.size):
		return verdictGranted
	case t.call != nil:
		return verdictFinished
	case t.mismatch:
		return verdictMismatch
	case t.taken > 0:
		return verdictTaken
	case t.full > 0:
		return verdictFull
	case t.granted+t.stale >= Quorum(t.size):
		return verdictStale
	}
	return verdictNone
}
