package node

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// announcement is the last word of the backend server beside this node.
type announcement struct {
	server  *apiv1.BackendServer
	expires time.Time
}

// Announce takes the heartbeat of the backend server beside this node (twirp service Membership).
func (n *Node) Announce(_ context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	if request.Server == nil || request.Server.Instance == "" {
		return nil, errNoServer
	}
	n.mu.Lock()
	changed := n.announced == nil || n.announced.server.State != request.Server.State
	request.Server.Node = n.options.Instance
	request.Server.NodeControlAddr = n.options.ControlAddr
	n.announced = &announcement{server: request.Server, expires: time.Now().Add(member.LeaseTime)}
	n.mu.Unlock()
	if changed {
		n.wakeRenewal()
	}
	return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
}

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
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced != nil && time.Now().Before(n.announced.expires) {
		request.Servers = append(request.Servers, n.announced.server)
	}
	return request
}
