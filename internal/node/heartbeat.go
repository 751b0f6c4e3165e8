package node

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// heartbeat is the newest heartbeat of the backend server beside a node.
type heartbeat struct {
	instance    string
	incarnation uint64
	sequence    uint64
	// withdrawn is set once that start of the backend server has said that it goes.
	withdrawn bool
}

// follows reports whether a heartbeat that comes now is newer than the last one: of a later start, or of the same start
// with a higher sequence. One of an earlier start was held up on its way, perhaps beyond the end of its sender.
func (h *heartbeat) follows(instance string, incarnation, sequence uint64) bool {
	switch {
	case h.instance == "" || incarnation > h.incarnation:
		return true
	case incarnation < h.incarnation:
		return false
	case instance != h.instance:
		// Two instances that started in the same millisecond: the later word counts.
		return true
	}
	return !h.withdrawn && (sequence == 0 || sequence > h.sequence)
}

// inOrder takes note of a heartbeat and reports whether it is newer than the last one.
func (n *Node) inOrder(request *apiv1.AnnounceRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	server := request.Server
	if !n.last.follows(server.Instance, server.Incarnation, request.Sequence) {
		return false
	}
	n.last = heartbeat{instance: server.Instance, incarnation: server.Incarnation, sequence: request.Sequence}
	return true
}

// Withdraw takes the word of the backend server beside this node that it goes. It reports whether that is the announced
// one; no later heartbeat of the same start brings it back.
func (n *Node) Withdraw(instance string) bool {
	n.mu.Lock()
	known := n.last.instance == instance
	if known {
		n.last.withdrawn = true
	}
	if known && n.announced != nil && n.announced.server.Instance == instance {
		leaving := proto.Clone(n.announced.server).(*apiv1.BackendServer)
		leaving.State = apiv1.ServerState_SERVER_STATE_DRAINING
		n.announced.server = leaving
	}
	n.mu.Unlock()
	if known {
		n.retell()
	}
	return known
}
