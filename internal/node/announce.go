package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
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
	if own := n.options.Service; own != "" && request.Server.Service != own {
		return nil, twirp.NewError(twirp.InvalidArgument, "service "+request.Server.Service+" is not the one beside this node")
	}
	request.Server.Node = n.options.Instance
	request.Server.NodeControlAddr = n.options.ControlAddr
	request.Server.GateAddr = n.options.GateAddr
	if !n.inOrder(request) {
		n.options.Logger.Info().Str("backend_server", request.Server.Instance).Uint64("incarnation", request.Server.Incarnation).
			Uint64("sequence", request.Sequence).Msg("late heartbeat passed over")
		return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
	}
	if n.takeAnnouncement(request.Server) {
		n.revise()
		n.wakeRenewal()
	}
	return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
}

// takeAnnouncement reports whether the backend server announced something new. Its load is no news: it travels on
// its answers.
func (n *Node) takeAnnouncement(server *apiv1.BackendServer) bool {
	server.InFlight = 0
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	before := n.told(now)
	if before != nil && before.Incarnation == server.Incarnation {
		// What is left of the slow time after a start shrinks with each heartbeat; others are told the first word.
		server.ColdMs = before.ColdMs
	}
	if before != nil && before.Incarnation != server.Incarnation {
		n.drained = false
	}
	n.announced = &announcement{server: server, expires: now.Add(member.LeaseTime), told: n.tell(server)}
	return before == nil || !proto.Equal(before, n.announced.told)
}

// Announced returns the backend server beside this node as others are told of it, nil when none is announced. It must
// not be changed.
func (n *Node) Announced() *apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told(time.Now())
}

// LocalServer returns the backend server beside this node by its own word: while only this node is about to stop, the backend
// server still takes the calls of those who have not heard or know no other. It is nil when none is announced, and must
// not be changed.
func (n *Node) LocalServer() *apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	told := n.told(time.Now())
	if told == nil || n.drained {
		return told
	}
	return n.announced.server
}

// told returns the announcement in force; guarded by mu.
func (n *Node) told(now time.Time) *apiv1.BackendServer {
	if n.announced == nil || now.After(n.announced.expires) {
		return nil
	}
	return n.announced.told
}

// tell makes what others are told from the word of the backend server and the wishes of the platform; guarded by mu.
func (n *Node) tell(server *apiv1.BackendServer) *apiv1.BackendServer {
	if !n.drained && !n.leaving || server.State != apiv1.ServerState_SERVER_STATE_READY {
		return server
	}
	told := proto.Clone(server).(*apiv1.BackendServer)
	told.State = apiv1.ServerState_SERVER_STATE_DRAINING
	return told
}

// Drain takes the backend server out of service on the platform's word, or puts it back. A new start of the backend
// server is in service again.
func (n *Node) Drain(undo bool) *apiv1.BackendServer {
	n.mu.Lock()
	n.drained = !undo
	n.mu.Unlock()
	n.retell()
	return n.Announced()
}

// DrainForShutdown takes the backend server out of service because this node is about to stop.
func (n *Node) DrainForShutdown() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.retell()
}

// retell tells others at once what the platform wishes.
func (n *Node) retell() {
	n.mu.Lock()
	if n.announced != nil {
		n.announced.told = n.tell(n.announced.server)
	}
	n.mu.Unlock()
	n.revise()
	n.wakeRenewal()
}
