package claim

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
)

// voteResult is the result of a round of votes.
type voteResult int

const (
	// voteGranted means that a majority has granted the claim.
	voteGranted voteResult = iota
	// voteFinished means that an earlier attempt has finished.
	voteFinished
	// voteMismatch means that the key was used for another request.
	voteMismatch
	// voteFull means that a holder has no memory left for the claim.
	voteFull
	// voteTaken means that another attempt holds the key and has not finished, or that the votes were split.
	voteTaken
	// voteStale means that a majority responded, but some holders had another epoch or were not synced. A retry may
	// succeed soon.
	voteStale
	// voteUnavailable means that too few holders responded, or that the majority was counted only after VoteWindow.
	voteUnavailable
)

// round is one vote on the claim of one attempt.
type round struct {
	client  *Client
	set     *apiv1.Assignment
	request *Request
	attempt Attempt
	// call is the response of an earlier attempt, if the vote found one.
	call *apiv1.StoredCall
}

// vote sends the claim to all holders at once. Grants that arrive after VoteWindow do not count. Without a majority the
// attempt releases the grants that it got.
func (r *round) vote(ctx context.Context) voteResult {
	started := r.client.options.Now()
	ctx, cancel := context.WithTimeout(ctx, VoteWindow)
	defer cancel()
	responses := r.sendToAll(ctx, &apiv1.ClaimRequest{
		FailureDomain:  r.set.FailureDomain,
		Epoch:          r.set.Epoch,
		Key:            r.request.Key,
		Digest:         r.request.Digest,
		Attempt:        r.attempt.toProto(),
		DeadlineUnixMs: r.request.Deadline.UnixMilli(),
		RetentionMs:    uint64(max(r.request.Retention, 0).Milliseconds()),
	})
	tally := newTally(len(r.set.Nodes))
	for range r.set.Nodes {
		tally.add(<-responses)
		if tally.decided() {
			break
		}
	}
	result := tally.result()
	if result == voteGranted && r.client.options.Now().Sub(started) > VoteWindow {
		result = voteUnavailable
	}
	r.call = tally.finishedCall
	if result != voteGranted {
		go r.release()
	}
	return result
}

// sendToAll sends a request to every holder. A nil response stands for a holder that did not respond.
func (r *round) sendToAll(ctx context.Context, request *apiv1.ClaimRequest) <-chan *apiv1.ClaimResponse {
	responses := make(chan *apiv1.ClaimResponse, len(r.set.Nodes))
	for _, node := range r.set.Nodes {
		go func() {
			response, err := r.client.options.Peer(node.ControlAddr).Claim(ctx, request)
			if err != nil {
				r.client.options.Logger.Debug().Err(err).Str("peer", node.Instance).Msg("claim holder did not respond")
				response = nil
			}
			responses <- response
		}()
	}
	return responses
}

// watch waits until the attempt that holds the key has finished, and returns its response. If it returns neither a
// response nor an error, the key is free and can be claimed again. It returns ErrUnknown if the context ends, if the
// attempt is assumed lost, or if too few holders respond.
func (r *round) watch(ctx context.Context) (*apiv1.StoredCall, error) {
	for {
		responses := r.sendToAll(ctx, &apiv1.ClaimRequest{
			FailureDomain: r.set.FailureDomain,
			Epoch:         r.set.Epoch,
			Key:           r.request.Key,
			Digest:        r.request.Digest,
			Attempt:       r.attempt.toProto(),
			WaitMs:        uint32(watchWait.Milliseconds()),
			Watch:         true,
		})
		free := 0
		deadline := int64(0)
		for range r.set.Nodes {
			response := <-responses
			switch response.GetStatus() {
			case apiv1.ClaimStatus_CLAIM_STATUS_FINISHED:
				return response.Call, nil
			case apiv1.ClaimStatus_CLAIM_STATUS_FREE:
				free++
			case apiv1.ClaimStatus_CLAIM_STATUS_TAKEN:
				deadline = max(deadline, response.TakenDeadlineUnixMs)
			}
		}
		if ctx.Err() != nil {
			return nil, ErrUnknown
		}
		if free >= Quorum(len(r.set.Nodes)) {
			return nil, nil
		}
		if deadline == 0 {
			return nil, ErrUnknown
		}
		if r.client.options.Now().After(time.UnixMilli(deadline).Add(abandonAfter)) {
			return nil, ErrUnknown
		}
	}
}

// release releases the grants of an attempt that has not run the request and will not run it.
func (r *round) release() int {
	return r.finish(&apiv1.FinishRequest{Release: true})
}

// finish sends the outcome to all holders. It returns the number of holders that have recorded it, as soon as they are a
// majority or finishWait has passed.
func (r *round) finish(request *apiv1.FinishRequest) int {
	request.FailureDomain = r.set.FailureDomain
	request.Epoch = r.set.Epoch
	request.Key = r.request.Key
	request.Attempt = r.attempt.toProto()
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	recorded := make(chan bool, len(r.set.Nodes))
	pending := len(r.set.Nodes)
	for _, node := range r.set.Nodes {
		go func() {
			response, err := r.client.options.Peer(node.ControlAddr).Finish(ctx, request)
			recorded <- err == nil && response.Recorded
		}()
	}
	count := 0
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	for ; pending > 0 && count < Quorum(len(r.set.Nodes)); pending-- {
		select {
		case ok := <-recorded:
			if ok {
				count++
			}
		case <-timer.C:
			go awaitRemaining(recorded, pending, cancel)
			return count
		}
	}
	go awaitRemaining(recorded, pending, cancel)
	return count
}

// awaitRemaining receives the results of the remaining requests before it cancels their context.
func awaitRemaining(recorded <-chan bool, pending int, cancel context.CancelFunc) {
	for range pending {
		<-recorded
	}
	cancel()
}
