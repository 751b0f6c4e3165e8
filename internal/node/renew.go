package node

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
)

// wakeRenewal makes the renewal loop renew the leases at once.
func (n *Node) wakeRenewal() {
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}

// renewWithNewRevision makes the renewal loop send complete records at once. Without a new revision a renewal is short and
// says nothing of what has changed.
func (n *Node) renewWithNewRevision() {
	n.bumpRevision()
	n.wakeRenewal()
}

// bumpRevision gives the records of the next renewal a new revision. It is taken from the clock if that is higher, so that
// it is also above the revisions of an earlier process of this instance.
func (n *Node) bumpRevision() {
	n.raiseRevisionAbove(uint64(time.Now().UnixMicro()))
}

// bumpRevisionIfDue gives the records of the next renewal a new revision if an applied version is to be announced.
func (n *Node) bumpRevisionIfDue(now time.Time) {
	n.mu.Lock()
	due := n.applied.due(now)
	n.mu.Unlock()
	if due {
		n.bumpRevision()
	}
}

// raiseRevisionAbove gives the records of the next renewal a revision above the given one and all earlier ones.
func (n *Node) raiseRevisionAbove(revision uint64) {
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
		var retry <-chan time.Time
		if n.renewOnce(ctx, to, false) {
			failures = 0
		} else if failures++; failures >= maxRenewFailures && ctx.Err() == nil {
			failures = 0
			n.selector.failOver(to)
			continue
		} else if n.awaitsAnswer() {
			retry = time.After(renewRetryDelay/2 + rand.N(renewRetryDelay))
		}
		select {
		case <-retry:
		case <-ctx.Done():
			n.bumpRevision()
			n.renewOnce(context.WithoutCancel(ctx), to, true)
			return nil
		case <-ticker.C:
			n.bumpRevisionIfDue(time.Now())
		case <-n.renewNow:
		case <-switched:
			n.bumpRevision()
		}
	}
}

// awaitsAnswer reports whether the backend server gets no calls until another process answers a renewal.
func (n *Node) awaitsAnswer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	server := n.advertisedServer(time.Now())
	return server != nil && n.mayHaveLeft(server)
}

// renewOnce sends one renewal and reports whether it was answered. With leaving set, the renewal ends the leases.
func (n *Node) renewOnce(ctx context.Context, to *distribution.Client, leaving bool) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	request := n.renewRequest(leaving)
	revision, announced := request.Node.Revision, announcedIn(request)
	if n.lastRenewal.receiver == to && n.lastRenewal.revision == revision && !leaving {
		request = shortRenewal(request)
	}
	response, err := to.Membership.Renew(ctx, request)
	n.lastRenewal = renewal{}
	if err != nil {
		n.options.Logger.Debug().Err(err).Str("upstream", to.Addr).Msg("lease renewal failed")
		return false
	}
	learned := n.learnOverruling(response.Overruling)
	if !response.WantWhole {
		n.recordAnswered(announced)
	}
	switch {
	case leaving:
	case learned:
		n.readvertise()
	case response.RefutedRevision > 0:
		n.raiseRevisionAbove(response.RefutedRevision)
		n.wakeRenewal()
	case response.WantWhole:
		n.wakeRenewal()
	default:
		n.lastRenewal = renewal{receiver: to, revision: revision}
	}
	return true
}

// announcedIn returns the start of the backend server that a renewal announces.
func announcedIn(request *apiv1.RenewRequest) serverStart {
	for _, server := range request.Servers {
		if !member.IsWithdrawal(server) {
			return startOf(server)
		}
	}
	return serverStart{}
}

func (n *Node) recordAnswered(announced serverStart) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered = announced
}

// renewal identifies an accepted renewal, whose receiver holds the records of that revision; the zero value stands for
// none.
type renewal struct {
	receiver *distribution.Client
	revision uint64
}

// shortRenewal returns the short form of a renewal, for a receiver that already has its records.
func shortRenewal(request *apiv1.RenewRequest) *apiv1.RenewRequest {
	short := &apiv1.RenewRequest{
		Node: &apiv1.NodeInfo{
			Instance:    request.Node.Instance,
			Incarnation: request.Node.Incarnation,
			Revision:    request.Node.Revision,
		},
		Unchanged: true,
	}
	for _, server := range request.Servers {
		if member.IsWithdrawal(server) {
			continue
		}
		short.UnchangedServers = append(short.UnchangedServers, server.Instance)
	}
	return short
}

func (n *Node) renewRequest(leaving bool) *apiv1.RenewRequest {
	status := n.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
	request := &apiv1.RenewRequest{
		Leaving:      leaving,
		StoresDrains: true,
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
	now := time.Now()
	for _, known := range n.withdrawn.recent(now) {
		if n.announced == nil || n.announced.server.Instance != known.instance || n.announced.server.Leaving {
			// Earlier releases know the name only, and would take it for that of a start which is in service now.
			request.LeavingServers = append(request.LeavingServers, known.instance)
		}
		request.Servers = append(request.Servers, member.NewWithdrawal(known.instance, n.options.Instance, known.at))
	}
	if advertised := n.advertisedServer(now); advertised != nil {
		server := proto.Clone(advertised).(*apiv1.BackendServer)
		server.Revision = n.revision
		request.Servers = append(request.Servers, server)
		request.MayHaveLeft = n.mayHaveLeft(server)
	}
	return request
}
