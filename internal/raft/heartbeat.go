package raft

import apiv1 "samphireflow/api/v1"

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.peers() {
		n.sendImmediately(&apiv1.ReplicationMessage{
			Kind:    apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
			To:      id,
			Commit:  min(n.log.committed, n.progress[id].match),
			Context: n.readQueue.heartbeatContext,
		})
	}
}

func (n *Node) handleHeartbeat(message *apiv1.ReplicationMessage) {
	n.log.commitTo(message.Commit)
	n.send(&apiv1.ReplicationMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: message.From, Context: message.Context})
}

func (n *Node) handleHeartbeatReply(message *apiv1.ReplicationMessage, p *progress) {
	p.ackedContext = max(p.ackedContext, message.Context)
	n.answerConfirmedReads()
	// The reply also lets the leader send again if appends or the replies to them were lost.
	p.paused = false
	p.inflight = max(p.inflight-1, 0)
	if p.match < n.log.last() {
		n.sendAppend(message.From, p)
	}
}
