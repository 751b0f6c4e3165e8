package node

import (
	apiv1 "samphireflow/api/v1"
)

// heartbeat identifies the newest heartbeat of the backend server beside a node.
type heartbeat struct {
	instance    string
	incarnation uint64
	sequence    uint64
	// leaving is set once this incarnation of the backend server has announced that it stops. It does not come back.
	leaving bool
	// withdrawn is set once it has announced so without a heartbeat. No heartbeat follows then.
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

// isOf reports whether h is a heartbeat of the given start of a backend server.
func (h *heartbeat) isOf(server *apiv1.BackendServer) bool {
	return h.instance == server.Instance && h.incarnation == server.Incarnation
}

// acceptHeartbeat records a heartbeat if it is newer than the last one and does not take back that the backend server leaves.
// It reports whether it did.
func (n *Node) acceptHeartbeat(request *apiv1.AnnounceRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	server := request.Server
	if !n.lastHeartbeat.supersededBy(server.Instance, server.Incarnation, request.Sequence) {
		return false
	}
	next := heartbeat{instance: server.Instance, incarnation: server.Incarnation, sequence: request.Sequence, leaving: server.Leaving}
	if n.lastHeartbeat.isOf(server) && n.lastHeartbeat.leaving && !next.leaving || n.withdrawn.cover(server) {
		return false
	}
	n.lastHeartbeat = next
	return true
}
