package claim

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
)

// verdict is what a round of votes comes to.
type verdict int

const (
	verdictGranted verdict = iota
	verdictFinished
	verdictMismatch
	verdictFull
	// verdictTaken means that another attempt has not finished, or that votes were split.
	verdictTaken
	// verdictStale means that enough holders answered, but some of another epoch or without memory, which may pass soon.
	verdictStale
	// verdictNone means that too few holders answered.
	verdictNone
)

// round is one attempt's try at a majority.
type round struct {
	client  *Client
	set     *apiv1.Assignment
	request *Request
	attempt Attempt
	// call is the answer of an earlier attempt that the vote has found.
	call *apiv1.StoredCall
}

// vote asks all holders at once. Grants that come after the vote window do not count. Unless the right is granted, what
// was granted is given back.
func (r *round) vote(ctx context.Context) verdict {
	started := r.client.options.Now()
	ctx, cancel := context.WithTimeout(ctx, VoteWindow)
	defer cancel()
	responses := r.askAll(ctx, &apiv1.ClaimRequest{
		FailureDomain:  r.set.FailureDomain,
		Epoch:          r.set.Epoch,
		Key:            r.request.Key,
		Digest:         r.request.Digest,
		Attempt:        r.attempt.message(),
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
	verdict := tally.verdict()
	if verdict == verdictGranted && r.client.options.Now().Sub(started) > VoteWindow {
		verdict = verdictNone
	}
	r.call = tally.call
	if verdict != verdictGranted {
		go r.release()
	}
	return verdict
}

// askAll sends one request to every holder. Nil stands for a holder that did not answer.
func (r *round) askAll(ctx context.Context, request *apiv1.ClaimRequest) <-chan *apiv1.ClaimResponse {
	responses := make(chan *apiv1.ClaimResponse, len(r.set.Nodes))
	for _, node := range r.set.Nodes {
		go func() {
			response, err := r.client.options.Peer(node.ControlAddr).Claim(ctx, request)
			if err != nil {
				r.client.options.Logger.Debug().Err(err).Str("peer", node.Instance).Msg("claim holder did not answer")
				response = nil
			}
			responses <- response
		}()
	}
	return responses
}

// watch waits until the attempt that holds the key has finished. Without a result the key is free to be claimed.
func (r *round) watch(ctx context.Context) (*apiv1.StoredCall, error) {
	for {
		responses := r.askAll(ctx, &apiv1.ClaimRequest{
			FailureDomain: r.set.FailureDomain,
			Epoch:         r.set.Epoch,
			Key:           r.request.Key,
			Digest:        r.request.Digest,
			Attempt:       r.attempt.message(),
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
		if r.client.options.Now().After(time.UnixMilli(deadline).Add(lateness)) {
			return nil, ErrUnknown
		}
	}
}

// release gives back what was granted to an attempt that will never run the request.
func (r *round) release() int {
	return r.finish(&apiv1.FinishRequest{Release: true})
}

// finish tells all holders of the outcome and returns the number that has recorded it, at the latest after finishWait.
func (r *round) finish(request *apiv1.FinishRequest) int {
	request.FailureDomain = r.set.FailureDomain
	request.Epoch = r.set.Epoch
	request.Key = r.request.Key
	request.Attempt = r.attempt.message()
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
			go drain(recorded, pending, cancel)
			return count
		}
	}
	go drain(recorded, pending, cancel)
	return count
}

// drain lets the remaining requests end before their context does.
func drain(recorded <-chan bool, pending int, cancel context.CancelFunc) {
	for range pending {
		<-recorded
	}
	cancel()
}
