package claim

import (
	apiv1 "samphireflow/api/v1"
)

// Permit is the permission to run one request. Its owner calls exactly one of its methods, once.
type Permit struct {
	round *round
}

// Finish records the response, which is returned to repeated requests with the same key. It returns once a majority of
// the holders has recorded it, at the latest after finishWait.
func (p *Permit) Finish(call *apiv1.StoredCall) {
	p.round.finish(&apiv1.FinishRequest{Call: call})
}

// Release frees the key. It must be called only if the request was certainly not run.
func (p *Permit) Release() {
	p.round.release()
}
