package claim

import (
	apiv1 "samphireflow/api/v1"
)

// Permit is the right to run one request. Its holder ends it with exactly one of the methods.
type Permit struct {
	round *round
}

// Finish records the answer, which resends get. It returns once a majority of the holders has it, or after a short time.
func (r *Permit) Finish(call *apiv1.StoredCall) {
	r.round.finish(&apiv1.FinishRequest{Call: call})
}

// Release frees the key of a request that was certainly not run.
func (r *Permit) Release() {
	r.round.release()
}
