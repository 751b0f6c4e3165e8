package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// announcement is the last word of the backend server beside this node.
type announcement struct {
	// server is what the backend server said, with the fields of this node.
	server  *apiv1.BackendServer
	expires time.Time
	// told is what others are told; it is replaced, never changed.
	told *apiv1.BackendServer
}

// Announce takes the heartbeat of the backend server beside this node (twirp service Membership).
func (n *Node) Announce(_ context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	if request.Server == nil || request.Server.Instance == "" {
		return nil, errNoServer
	}
	now := time.Now()
	request.Server.Node = n.options.Instance
	request.Server.NodeControlAddr = n.options.ControlAddr
	n.mu.Lock()
	if n.announced != nil && n.announced.server.Incarnation != request.Server.Incarnation {
		n.drained = false
	}
	n.announced = &announcement{server: request.Server, expires: now.Add(member.LeaseTime), told: n.toldBefore()}
	changed := n.tell(now)
	n.mu.Unlock()
	if changed {
		n.wakeRenewal()
	}
	return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
}

// Announced returns the backend server beside this node as others are told of it, nil when none is announced.
func (n *Node) Announced() *apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.announced == nil || !time.Now().Before(n.announced.expires) {
		return nil
	}
	return n.announced.told
}

// Drain takes the backend server out of service on the platform's word, or puts it back. A new start of the backend
// server is in service again.
func (n *Node) Drain(undo bool) *apiv1.BackendServer {
	n.mu.Lock()
	n.drained = !undo
	n.retell()
	n.mu.Unlock()
	n.wakeRenewal()
	return n.Announced()
}

// Leave takes the backend server out of service because this node is about to stop.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.retell()
	n.mu.Unlock()
	n.wakeRenewal()
}

func (n *Node) toldBefore() *apiv1.BackendServer {
	if n.announced == nil {
		return nil
	}
	return n.announced.told
}

func (n *Node) retell() {
	if n.announced != nil {
		n.tell(time.Now())
	}
}

// tell makes what others are told from the last word of the backend server and the wishes of the platform; guarded by
// mu. It reports whether others must hear of it at once. The revision is the time of the last change, so that it grows
// over restarts of the node too.
func (n *Node) tell(now time.Time) bool {
	before := n.announced.told
	next := proto.Clone(n.announced.server).(*apiv1.BackendServer)
	if (n.drained || n.leaving) && next.State == apiv1.ServerState_SERVER_STATE_READY {
		next.State = apiv1.ServerState_SERVER_STATE_DRAINING
	}
	changed := before == nil || before.State != next.State || before.Incarnation != next.Incarnation
	next.Revision = before.GetRevision()
	if changed {
		next.Revision = uint64(now.UnixMilli())
	}
	n.announced.told = next
	return changed
}
