package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

func (n *Node) wakeRenewal() {
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}

// revise makes the next renewal the newest word about this node: newer than any before, also by an earlier process
// of this instance.
func (n *Node) revise() {
	n.exceed(uint64(time.Now().UnixMicro()))
}

// exceed makes the next renewal carry a revision above the given one.
func (n *Node) exceed(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revision = max(n.revision, revision) + 1
}

// renewLoop renews the leases, and ends them when the context ends.
func (n *Node) renewLoop(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	failures := 0
	for {
		to, switched := n.selector.choice()
		if n.renewOnce(ctx, to, false) {
			failures = 0
		} else if failures++; failures >= renewFailures && ctx.Err() == nil {
			failures = 0
			n.selector.fail(to)
			continue
		}
		select {
		case <-ctx.Done():
			n.revise()
			n.renewOnce(context.WithoutCancel(ctx), to, true)
			return nil
		case <-ticker.C:
		case <-n.renewNow:
		case <-switched:
			n.revise()
		}
	}
}

// renewOnce reports whether the renewal was answered.
func (n *Node) renewOnce(ctx context.Context, to *distribution.Client, leaving bool) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := n.renewRequest(leaving)
	revision := request.Node.Revision
	if n.renewed.home == to && n.renewed.revision == revision && !leaving {
		request = unchanged(request)
	}
	response, err := to.Membership.Renew(ctx, request)
	n.renewed = renewal{}
	if err != nil {
		n.options.Logger.Debug().Err(err).Str("upstream", to.Addr).Msg("lease renewal failed")
		return false
	}
	switch {
	case leaving:
	case response.RefutedRevision > 0:
		n.exceed(response.RefutedRevision)
		n.wakeRenewal()
	case response.WantWhole:
		n.wakeRenewal()
	default:
		n.renewed = renewal{home: to, revision: revision}
	}
	return true
}

// renewal is a renewal that was answered.
type renewal struct {
	home     *distribution.Client
	revision uint64
}

// unchanged returns the short form of a renewal whose records the home has.
func unchanged(request *apiv1.RenewRequest) *apiv1.RenewRequest {
	short := &apiv1.RenewRequest{
		Node: &apiv1.NodeInfo{
			Instance:    request.Node.Instance,
			Incarnation: request.Node.Incarnation,
			Revision:    request.Node.Revision,
		},
		Unchanged: true,
	}
	for _, server := range request.Servers {
		short.UnchangedServers = append(short.UnchangedServers, server.Instance)
	}
	return short
}

func (n *Node) renewRequest(leaving bool) *apiv1.RenewRequest {
	status := n.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
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
			Revision:          n.revision,
		},
	}
	if version, refusal := n.relay.Refused(); request.Node.RefusedVersion == 0 {
		request.Node.RefusedVersion, request.Node.Refusal = version, refusal
	}
	if told := n.told(time.Now()); told != nil {
		server := proto.Clone(told).(*apiv1.BackendServer)
		server.Revision = n.revision
		request.Servers = append(request.Servers, server)
	}
	return request
}
