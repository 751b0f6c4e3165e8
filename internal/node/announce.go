package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// announcement is the newest announcement of the backend server beside this node.
type announcement struct {
	// server is the record that the backend server announced, completed with the fields of this node.
	server  *apiv1.BackendServer
	expires time.Time
	// advertised is the record that other processes receive; it is replaced, never modified.
	advertised *apiv1.BackendServer
}

// Announce handles a heartbeat of the backend server beside this node (twirp service Membership). One that says that the
// backend server leaves is acknowledged once that is stored; see acknowledge.
func (n *Node) Announce(ctx context.Context, request *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	if request.Server == nil || request.Server.Instance == "" {
		return nil, errNoServer
	}
	if own := n.options.Service; own != "" && request.Server.Service != own {
		return nil, twirp.NewError(twirp.InvalidArgument, "service "+request.Server.Service+" is not the one beside this node")
	}
	if err := checkAnnouncement(request); err != nil {
		n.options.Logger.Warn().Err(err).Msg("announcement refused")
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	request.Server.Node = n.options.Instance
	request.Server.NodeControlAddr = n.options.ControlAddr
	request.Server.GateAddr = n.options.GateAddr
	request.Server.Leaving = leaves(request.Server.State)
	if !n.acceptHeartbeat(request) {
		n.options.Logger.Info().Str("backend_server", request.Server.Instance).Uint64("incarnation", request.Server.Incarnation).
			Uint64("sequence", request.Sequence).Msg("late heartbeat passed over")
		return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
	}
	if n.storeAnnouncement(request.Server) {
		n.renewWithNewRevision()
	}
	if request.Server.Leaving {
		if err := n.acknowledge(ctx, request.Server); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	return &apiv1.AnnounceResponse{LeaseMs: uint32(member.LeaseTime.Milliseconds())}, nil
}

// maxSequence is the highest accepted sequence number. A higher one could leave no number for the heartbeats that follow.
const maxSequence = 1 << 40

// checkAnnouncement refuses what no backend server announces; see member.CheckServer and member.CheckStart.
func checkAnnouncement(request *apiv1.AnnounceRequest) error {
	if request.Sequence > maxSequence {
		return errors.Wrap(member.ErrInvalidServer, "sequence number")
	}
	if err := member.CheckServer(request.Server); err != nil {
		return err
	}
	return member.CheckStart(request.Server, time.Now())
}

// leaves reports whether a state that a backend server announces itself says that it stops.
func leaves(state apiv1.ServerState) bool {
	return state == apiv1.ServerState_SERVER_STATE_DRAINING || state == apiv1.ServerState_SERVER_STATE_GONE
}

// storeAnnouncement stores an announced record and reports whether the advertised record changed. The load is left out
// of the record, because the responses of the backend server carry it.
func (n *Node) storeAnnouncement(server *apiv1.BackendServer) bool {
	server.InFlight = 0
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	before := n.advertisedServer(now)
	n.noteCold(before, server, now)
	if before != nil && before.Incarnation != server.Incarnation {
		n.drain = drainOrder{}
	}
	n.announced = &announcement{server: server, expires: now.Add(member.LeaseTime), advertised: n.toAdvertise(server)}
	return before == nil || !proto.Equal(before, n.announced.advertised)
}

// Announced returns the backend server beside this node as the node advertises it to other processes, nil when none is
// announced. The record must not be modified.
func (n *Node) Announced() *apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.advertisedServer(time.Now())
}

// LocalServer returns the backend server beside this node in the state that it announced itself, nil when none is
// announced: while only this node is stopping, the backend server still serves the calls of nodes that have not yet
// learned that it is draining or know no other backend server. A requested drain does apply. The result is nil also for a start
// that may have left before this node started, until another process has answered its announcement. The record must not be modified.
func (n *Node) LocalServer() *apiv1.BackendServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	server := n.advertisedServer(time.Now())
	switch {
	case server == nil || n.mayHaveLeft(server):
		return nil
	case n.drain.drain:
		return server
	}
	return n.announced.server
}

// mayHaveLeft reports whether what was acknowledged to a start of a backend server may have been forgotten in a restart of this node:
// the start is older than this process, and no process at which leases are renewed has answered since. The caller must hold mu.
func (n *Node) mayHaveLeft(server *apiv1.BackendServer) bool {
	return server.StartedUnixMs < n.started.UnixMilli() && n.answered != startOf(server)
}

// serverStart identifies a start of a backend server.
type serverStart struct {
	instance    string
	incarnation uint64
}

func startOf(server *apiv1.BackendServer) serverStart {
	return serverStart{server.GetInstance(), server.GetIncarnation()}
}

// advertisedServer returns the advertised record, nil when its lease has expired. The caller must hold mu.
func (n *Node) advertisedServer(now time.Time) *apiv1.BackendServer {
	if n.announced == nil || now.After(n.announced.expires) {
		return nil
	}
	return n.announced.advertised
}

// toAdvertise returns the record to advertise for an announced one: a ready backend server is advertised as draining
// while an order to drain it holds or this node is stopping. The caller must hold mu.
func (n *Node) toAdvertise(server *apiv1.BackendServer) *apiv1.BackendServer {
	drains := (n.drain.drain || n.stopping) && server.State == apiv1.ServerState_SERVER_STATE_READY
	if !drains && n.drain.number == 0 {
		return server
	}
	advertised := proto.Clone(server).(*apiv1.BackendServer)
	advertised.DrainOrder, advertised.DrainOrdered = n.drain.number, n.drain.drain
	if drains {
		advertised.State = apiv1.ServerState_SERVER_STATE_DRAINING
	}
	return advertised
}

// Drain marks the backend server as draining at the order of an operator, or with undo puts it back into service. A new
// incarnation of the backend server is in service again. It returns once the order is stored; otherwise the error wraps
// ErrNotStored. Without a backend server there is nothing to drain, and the result is nil.
func (n *Node) Drain(ctx context.Context, undo bool) (*apiv1.BackendServer, error) {
	if n.Announced() == nil {
		return nil, nil
	}
	n.mu.Lock()
	n.drain = n.drain.next(!undo, time.Now())
	n.mu.Unlock()
	n.readvertise()
	drained := n.Announced()
	if drained == nil {
		return nil, nil
	}
	if err := n.acknowledge(ctx, drained); err != nil {
		return nil, err
	}
	return n.Announced(), nil
}

// DrainForShutdown marks the backend server as draining because this node is about to stop.
func (n *Node) DrainForShutdown() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.readvertise()
}

// readvertise updates the advertised record and sends it at once.
func (n *Node) readvertise() {
	n.mu.Lock()
	if n.announced != nil {
		n.announced.advertised = n.toAdvertise(n.announced.server)
	}
	n.mu.Unlock()
	n.renewWithNewRevision()
}
