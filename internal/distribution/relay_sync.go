package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "samphireflow/api/v1"
)

// syncLoop tells one other process what changed here, and now and then that nothing did. What is held matters to
// other relays only.
func (r *Relay) syncLoop(ctx context.Context, to *syncTarget, sync func(context.Context, *syncTarget) error) error {
	for ctx.Err() == nil {
		changed := r.hub.Changed()
		var told <-chan struct{}
		if to.relay {
			told = r.state.toldChannel()
		}
		if err := sync(ctx, to); err != nil {
			r.options.Logger.Debug().Err(err).Str("relay", to.client.Addr).Msg("sync failed")
			pause(ctx, retryPause)
		}
		waitForNews(ctx, told, changed, r.interval(to))
	}
	return nil
}

// interval is shorter for the process that the members are taken from.
func (r *Relay) interval(to *syncTarget) time.Duration {
	if len(r.controls) > 0 && to == r.controls[r.primary.get()] {
		return takeInterval
	}
	return syncInterval
}

// waitForNews waits until there is something to tell at once, for a short while after a change of members, so that
// several changes go together, or for the interval between two words.
func waitForNews(ctx context.Context, told, changed <-chan struct{}, interval time.Duration) {
	idle := time.NewTimer(interval*3/4 + rand.N(interval/2))
	defer idle.Stop()
	select {
	case <-ctx.Done():
		return
	case <-told:
		return
	case <-idle.C:
		return
	case <-changed:
	}
	gap := time.NewTimer(syncGap)
	defer gap.Stop()
	select {
	case <-ctx.Done():
	case <-told:
	case <-gap.C:
	}
}

// syncPeer tells another relay which version is held here and which leases are at home here.
func (r *Relay) syncPeer(ctx context.Context, to *syncTarget) error {
	response, err := r.sync(ctx, to, r.state.Age() > controlSilence)
	if err != nil {
		return err
	}
	r.state.hearRelay(response.Instance, response.Synced, response.Version, response.Released)
	if snap := response.Snapshot; snap != nil {
		if err := r.state.hold(snap); err != nil {
			r.options.Logger.Debug().Err(err).Str("relay", to.client.Addr).Msg("version of another relay not taken")
		}
	}
	return nil
}

// syncControl tells a control instance which leases are at home here, and takes the others from the primary one.
func (r *Relay) syncControl(ctx context.Context, index int, to *syncTarget) error {
	primary := r.primary.get() == index
	_, err := r.sync(ctx, to, primary)
	if err != nil && primary {
		r.primary.fail(index)
	}
	return err
}

func (r *Relay) sync(ctx context.Context, to *syncTarget, wantMembers bool) (*apiv1.SyncResponse, error) {
	request := r.word()
	request.WantMembers = wantMembers
	response, err := to.exchange(ctx, request, r.hub)
	if err != nil {
		return nil, err
	}
	r.state.hearAge(time.Now(), time.Duration(response.AgeMs)*time.Millisecond)
	if response.MembersSource != "" {
		r.state.completeMembers()
	}
	return response, nil
}

// word says what this relay holds.
func (r *Relay) word() *apiv1.SyncRequest {
	synced, version := r.state.synced()
	_, released := r.state.known()
	return &apiv1.SyncRequest{
		Instance:      r.options.Instance,
		FailureDomain: r.options.FailureDomain,
		ControlAddr:   r.options.ControlAddr,
		Synced:        synced,
		Version:       version,
		Released:      released,
		Relays:        r.state.currentRelays(),
	}
}
