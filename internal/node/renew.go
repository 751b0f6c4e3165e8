package node

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

func (n *Node) wakeRenewal() {
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}

// renewLoop renews the leases at all control instances, and ends them when the context ends.
func (n *Node) renewLoop(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		n.renewAll(ctx, false)
		select {
		case <-ctx.Done():
			n.renewAll(context.WithoutCancel(ctx), true)
			return nil
		case <-ticker.C:
		case <-n.renewNow:
		}
	}
}

func (n *Node) renewAll(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := n.renewRequest(leaving)
	var wg sync.WaitGroup
	for _, up := range n.upstreams {
		wg.Go(func() {
			if _, err := up.membership.Renew(ctx, request); err != nil {
				n.options.Logger.Debug().Err(err).Str("upstream", up.addr).Msg("lease renewal failed")
			}
		})
	}
	wg.Wait()
}

func (n *Node) renewRequest(leaving bool) *apiv1.RenewRequest {
	status := n.Status()
	request := &apiv1.RenewRequest{
		Leaving: leaving,
		Node: &apiv1.NodeInfo{
			Instance:          n.options.Instance,
			FailureDomain:     n.options.FailureDomain,
			ControlAddr:       n.options.ControlAddr,
			CallerAddr:        n.options.CallerAddr,
			AdminAddr:         n.options.AdminAddr,
			Incarnation:       n.incarnation,
			AppliedVersion:    status.Snapshot.GetVersion(),
			RefusedVersion:    status.RefusedVersion,
			Refusal:           status.Refusal,
			LastRenewedUnixMs: time.Now().UnixMilli(),
		},
	}
	if server := n.Announced(); server != nil {
		request.Servers = append(request.Servers, server)
	}
	return request
}
