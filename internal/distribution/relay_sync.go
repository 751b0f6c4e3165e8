package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "samphireflow/api/v1"
)

// syncLoop syncs with one other process after each change, and at intervals while nothing changes. Changes of the held
// versions trigger a sync with other relays only; control instances do not use them.
func (r *Relay) syncLoop(ctx context.Context, to *syncTarget, sync func(context.Context, *syncTarget) error) error {
	for ctx.Err() == nil {
		changed := r.hub.Changed()
		var stateChanged <-chan struct{}
		if to.relay {
			stateChanged = r.state.stateChangedChannel()
		}
		if err := sync(ctx, to); err != nil {
			r.options.Logger.Debug().Err(err).Str("relay", to.client.Addr).Msg("sync failed")
			sleepWithJitter(ctx, retryDelay)
		}
		waitForChange(ctx, stateChanged, changed, r.intervalFor(to))
	}
	return nil
}

// intervalFor returns the sync interval of a target. It is shorter for the control instance from which members are
// fetched.
func (r *Relay) intervalFor(to *syncTarget) time.Duration {
	if len(r.controls) > 0 && to == r.controls[r.primary.get()] {
		return memberSyncInterval
	}
	return syncInterval
}

// waitForChange waits for a state change, which must be sent at once, for a change of members plus syncBatchDelay, so that
// several changes are sent together, or for the interval with jitter.
func waitForChange(ctx context.Context, stateChanged, changed <-chan struct{}, interval time.Duration) {
	idle := time.NewTimer(interval*3/4 + rand.N(interval/2))
	defer idle.Stop()
	select {
	case <-ctx.Done():
		return
	case <-stateChanged:
		return
	case <-idle.C:
		return
	case <-changed:
	}
	batch := time.NewTimer(syncBatchDelay)
	defer batch.Stop()
	select {
	case <-ctx.Done():
	case <-stateChanged:
	case <-batch.C:
	}
}

// syncPeer sends another relay the newest held version and the leases that are renewed here, and adds the version that
// the other relay returns.
func (r *Relay) syncPeer(ctx context.Context, to *syncTarget) error {
	held, _ := r.state.newestVersions()
	response, err := r.sync(ctx, to, held, r.state.Age() > controlContactTimeout)
	if err != nil {
		return err
	}
	r.state.recordRelayStatus(response.Instance, response.Synced, response.Version, response.Released)
	next, _, err := r.state.decode(held, response)
	if err == nil && next != nil {
		err = r.state.addVersion(next)
	}
	if err != nil {
		r.options.Logger.Debug().Err(err).Str("relay", to.client.Addr).Msg("version of another relay refused")
	}
	return nil
}

// syncControl sends a control instance the leases that are renewed here. It fetches all other leases when the control
// instance is the primary.
func (r *Relay) syncControl(ctx context.Context, index int, to *syncTarget) error {
	primary := r.primary.get() == index
	held, _ := r.state.newestVersions()
	_, err := r.sync(ctx, to, held, primary)
	if err != nil && primary {
		r.primary.failOver(index)
	}
	return err
}

// sync exchanges leases and versions with another process. The response may carry an update from the held version.
func (r *Relay) sync(ctx context.Context, to *syncTarget, held *apiv1.Snapshot, wantMembers bool) (*apiv1.SyncResponse, error) {
	request := r.syncRequest(held)
	request.WantMembers = wantMembers
	response, err := to.exchange(ctx, request, r.hub)
	if err != nil {
		return nil, err
	}
	r.state.recordContact(time.Now(), time.Duration(response.AgeMs)*time.Millisecond)
	if response.MembersSource != "" {
		r.state.setMembersComplete()
	}
	return response, nil
}

// syncRequest returns a request with the state of this relay, without leases.
func (r *Relay) syncRequest(held *apiv1.Snapshot) *apiv1.SyncRequest {
	synced, _ := r.state.syncStatus()
	_, released := r.state.newestVersions()
	return &apiv1.SyncRequest{
		Instance:      r.options.Instance,
		FailureDomain: r.options.FailureDomain,
		ControlAddr:   r.options.ControlAddr,
		Synced:        synced,
		Version:       held.GetVersion(),
		Digest:        held.GetDigest(),
		Released:      released,
		Relays:        r.state.currentRelays(),
	}
}
