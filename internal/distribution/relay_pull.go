package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// staleControl is the age of a control instance's word above which a relay turns to another one.
const staleControl = 5 * time.Second

// errStaleControl is the error about a control instance that has lost touch with the control group.
var errStaleControl = errors.New("the control instance has not heard a quorum for too long")

// pullLoop keeps one watch open at a control instance and turns to another one when it fails or falls behind.
func (r *Relay) pullLoop(ctx context.Context) error {
	if len(r.controls) == 0 {
		return nil
	}
	whole := false
	for ctx.Err() == nil {
		index := r.primary.get()
		refused, err := r.pull(ctx, r.controls[index].client, whole)
		whole = refused && !whole
		if err != nil {
			r.options.Logger.Debug().Err(err).Str("control", r.controls[index].client.Addr).Msg("watch failed")
			r.primary.fail(index)
			pause(ctx, retryPause)
		}
	}
	return nil
}

// pull makes one watch. It reports whether a version was refused; the whole snapshot is then worth a try.
func (r *Relay) pull(ctx context.Context, from *Client, whole bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pullWait+requestTimeout)
	defer cancel()
	held, _ := r.state.known()
	response, err := from.Distribution.Watch(ctx, r.pullRequest(held, whole))
	if err != nil {
		return false, err
	}
	age := time.Duration(response.AgeMs) * time.Millisecond
	r.state.hearAge(time.Now(), age)
	r.state.accept(response.AcceptedVersion)
	next, version, err := Decode(held, response)
	switch {
	case err != nil:
		err = r.state.refuse(version, err)
	case next != nil:
		err = r.state.hold(next)
	case age > staleControl:
		return false, errStaleControl
	}
	if err != nil && !errors.Is(err, ErrStale) {
		r.options.Logger.Warn().Err(err).Msg("configuration refused")
		return true, nil
	}
	return false, nil
}

// pullRequest asks for what is newer than the held version. With whole, a delta is not wanted.
func (r *Relay) pullRequest(held *apiv1.Snapshot, whole bool) *apiv1.WatchRequest {
	request := &apiv1.WatchRequest{
		Instance:      r.options.Instance,
		FailureDomain: r.options.FailureDomain,
		WaitMs:        uint32(pullWait.Milliseconds()),
		Relay:         true,
		Version:       held.GetVersion(),
		Term:          held.GetTerm(),
		// Members are taken over by Sync.
		MembersAfterMs: uint32(2 * maxWatchWait.Milliseconds()),
	}
	if whole {
		return request
	}
	request.Digest = held.GetDigest()
	request.RefusedVersion, request.Refusal = r.state.refused()
	return request
}

// floorLoop makes linearizable reads until the relay holds what the control group had accepted when it started.
func (r *Relay) floorLoop(ctx context.Context) error {
	if len(r.controls) == 0 {
		return nil
	}
	for i := r.primary.get(); ctx.Err() == nil; i++ {
		control := r.controls[i%len(r.controls)].client
		version, err := r.readFloor(ctx, control)
		if err == nil {
			r.state.floor(version)
			return nil
		}
		r.options.Logger.Debug().Err(err).Str("control", control.Addr).Msg("linearizable read failed")
		pause(ctx, retryPause)
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
