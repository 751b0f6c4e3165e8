package node

import (
	"time"

	apiv1 "samphireflow/api/v1"
)

// coldAgainMargin is how much later than advertised a coldness must end to count as a new one. Heartbeats that tell of the same
// coldness arrive with varying delays.
const coldAgainMargin = 500 * time.Millisecond

// noteCold records the coldness that a heartbeat tells of. The end is never moved forward within an incarnation, because
// heartbeats may arrive late. Of each coldness only the first value is advertised, so that a heartbeat alone does not change the
// record. The caller must hold mu; before is the record advertised so far.
func (n *Node) noteCold(before, server *apiv1.BackendServer, now time.Time) {
	until := now.Add(time.Duration(server.ColdMs) * time.Millisecond)
	if before == nil || before.Instance != server.Instance || before.Incarnation != server.Incarnation {
		n.coldUntil, n.advertisedCold = until, until
		return
	}
	if until.After(n.coldUntil) {
		n.coldUntil = until
	}
	if server.ColdMs == 0 || !until.After(n.advertisedCold.Add(coldAgainMargin)) {
		server.ColdMs = before.ColdMs
		return
	}
	n.advertisedCold = until
	if server.ColdMs == before.ColdMs {
		// The record must differ, or other nodes would not learn of it.
		server.ColdMs++
	}
}

// ColdUntil returns the end of the coldness of the backend server beside this node, as it announced it.
func (n *Node) ColdUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.coldUntil
}
