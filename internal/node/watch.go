package node

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/routing"
)

// watchLoop keeps one watch open and goes to another control instance when it fails.
func (n *Node) watchLoop(ctx context.Context) error {
	next := rand.IntN(len(n.upstreams))
	for ctx.Err() == nil {
		up := n.upstreams[next%len(n.upstreams)]
		if err := n.watchOnce(ctx, up); err != nil {
			n.options.Logger.Debug().Err(err).Str("upstream", up.addr).Msg("watch failed")
			next++
			pause(ctx, retryPause)
		}
	}
	return nil
}

func (n *Node) watchOnce(ctx context.Context, up *upstream) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+requestTimeout)
	defer cancel()
	response, err := up.distribution.Watch(ctx, n.watchRequest())
	if err != nil {
		return err
	}
	n.takeResponse(response)
	return nil
}

func (n *Node) watchRequest() *apiv1.WatchRequest {
	request := &apiv1.WatchRequest{
		Instance:       n.options.Instance,
		FailureDomain:  n.options.FailureDomain,
		WaitMs:         uint32(watchWait.Milliseconds()),
		RefusedVersion: n.applier.refusedVersion,
		Refusal:        n.applier.refusal,
	}
	request.MembersSource, request.MembersSeq = n.directory.Position()
	if current := n.applier.current; current != nil {
		request.Version = current.Version
		request.Term = current.Term
		request.Digest = current.Digest
	}
	return request
}

func (n *Node) takeResponse(response *apiv1.WatchResponse) {
	changed, err := n.applier.take(response)
	if err != nil {
		n.options.Logger.Warn().Err(err).Msg("configuration refused")
	}
	if response.Members != nil {
		n.directory.Apply(response.Members)
		changed = true
	}
	if changed && n.applier.current != nil {
		n.table.Store(routing.Build(n.applier.current, n.directory.Servers(), n.registry))
	}
	n.status.Store(&Status{
		Snapshot:       n.applier.current,
		RefusedVersion: n.applier.refusedVersion,
		Refusal:        n.applier.refusal,
		Checked:        time.Now(),
	})
}
