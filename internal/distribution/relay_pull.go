package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// maxControlAge is the time since a control instance's last contact with a quorum above which a relay fails over to
// another control instance.
const maxControlAge = 5 * time.Second

// errStaleControl reports a control instance that has lost contact with a quorum of the control group.
var errStaleControl = errors.New("the control instance has had no contact with a quorum for too long")

// pullLoop keeps one watch open at a control instance and fails over to another one when the watch fails or the control
// instance is stale.
func (r *Relay) pullLoop(ctx context.Context) error {
	if len(r.controls) == 0 {
		return nil
	}
	fullSnapshot := false
	for ctx.Err() == nil {
		index := r.primary.get()
		refused, err := r.pull(ctx, r.controls[index].client, fullSnapshot)
		fullSnapshot = refused && !fullSnapshot
		if err != nil {
			r.options.Logger.Debug().Err(err).Str("control", r.controls[index].client.Addr).Msg("watch failed")
			r.primary.failOver(index)
			sleepWithJitter(ctx, retryDelay)
		}
	}
	return nil
}

// pull makes one watch request. It reports whether a version was refused; the caller then retries once with the full
// snapshot, because a delta may have been at fault.
func (r *Relay) pull(ctx context.Context, from *Client, fullSnapshot bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+requestTimeout)
	defer cancel()
	held, _ := r.state.newestVersions()
	response, err := from.Distribution.Watch(ctx, r.pullRequest(held, fullSnapshot))
	if err != nil {
		return false, err
	}
	age := time.Duration(response.AgeMs) * time.Millisecond
	r.state.recordContact(time.Now(), age)
	r.state.recordAccepted(response.AcceptedVersion)
	next, version, err := r.state.decode(held, response)
	switch {
	case err != nil:
		err = r.state.recordRefusal(version, err)
	case next != nil:
		err = r.state.addVersion(next)
	case age > maxControlAge:
		return false, errStaleControl
	}
	if err != nil && !errors.Is(err, ErrStale) {
		r.options.Logger.Warn().Err(err).Msg("configuration refused")
		return true, nil
	}
	return false, nil
}

// pullRequest returns a request for a version newer than the held one. With fullSnapshot it omits the digest, so that the
// response carries no delta.
func (r *Relay) pullRequest(held *apiv1.Snapshot, fullSnapshot bool) *apiv1.WatchRequest {
	request := &apiv1.WatchRequest{
		Instance:      r.options.Instance,
		FailureDomain: r.options.FailureDomain,
		WaitMs:        uint32(pullWait.Milliseconds()),
		Relay:         true,
		Version:       held.GetVersion(),
		Term:          held.GetTerm(),
		// Longer than any watch is held open, so that no response carries members: the relay receives them by Sync.
		MembersAfterMs: uint32(2 * maxWatchWait.Milliseconds()),
	}
	if fullSnapshot {
		return request
	}
	request.Digest = held.GetDigest()
	request.RefusedVersion, request.Refusal = r.state.refused()
	return request
}

// floorLoop retries a linearizable read of the control group until one succeeds, and records the version that the relay
// must hold before it is synced.
func (r *Relay) floorLoop(ctx context.Context) error {
	if len(r.controls) == 0 {
		return nil
	}
	for i := r.primary.get(); ctx.Err() == nil; i++ {
		control := r.controls[i%len(r.controls)].client
		version, err := r.readFloor(ctx, control)
		if err == nil {
			r.state.recordFloor(version)
			return nil
		}
		r.options.Logger.Debug().Err(err).Str("control", control.Addr).Msg("linearizable read failed")
		sleepWithJitter(ctx, retryDelay)
	}
	return nil
}

func (r *Relay) readFloor(ctx context.Context, from *Client) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := from.Distribution.Floor(ctx, &apiv1.FloorRequest{FailureDomain: r.options.FailureDomain})
	if err != nil {
		return 0, err
	}
	if !response.Synced {
		return 0, errors.New("the read was not linearizable")
	}
	return response.Version, nil
}
