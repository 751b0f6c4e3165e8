package node

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// heartbeat identifies the newest heartbeat of the backend server beside a node.
type heartbeat struct {
	instance    string
	incarnation uint64
	sequence    uint64
	// withdrawn is set once this incarnation of the backend server has announced that it stops.
	withdrawn bool
}

// supersededBy reports whether an arriving heartbeat is newer than h: of a later incarnation, or of the same one with a
// higher sequence number. Sequence number 0 comes from a sender that does not number its heartbeats. A heartbeat of an
// earlier incarnation was delayed on the network, possibly until after its sender had stopped.
func (h *heartbeat) supersededBy(instance string, incarnation, sequence uint64) bool {
	switch {
	case h.instance == "" || incarnation > h.incarnation:
		return true
	case incarnation < h.incarnation:
		return false
	case instance != h.instance:
		// Two instances started in the same millisecond: the heartbeat that arrives last counts.
		return true
	}
	return !h.withdrawn && (sequence == 0 || sequence > h.sequence)
}

// acceptHeartbeat records a heartbeat if it is newer than the last one, and reports whether it is.
func (n *Node) acceptHeartbeat(request *apiv1.AnnounceRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	server := request.Server
	if !n.lastHeartbeat.supersededBy(server.Instance, server.Incarnation, request.Sequence) {
		return false
	}
	n.lastHeartbeat = heartbeat{instance: server.Instance, incarnation: server.Incarnation, sequence: request.Sequence}
	return true
}

// Withdraw marks the backend server beside this node as draining, because it announced that it stops. It reports whether
// the instance is the one that sent the last heartbeat. Later heartbeats of the same incarnation are ignored.
func (n *Node) Withdraw(instance string) bool {
	n.mu.Lock()
	known := n.lastHeartbeat.instance == instance
	if known {
		n.lastHeartbeat.withdrawn = true
	}
	if known && n.announced != nil && n.announced.server.Instance == instance {
		draining := proto.Clone(n.announced.server).(*apiv1.BackendServer)
		draining.State = apiv1.ServerState_SERVER_STATE_DRAINING
		n.announced.server = draining
	}
	n.mu.Unlock()
	if known {
		n.readvertise()
	}
	return known
}
