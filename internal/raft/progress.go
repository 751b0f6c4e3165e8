package raft

// replicationMode is the way in which a leader sends its log to a follower.
type replicationMode int

const (
	// modeProbe sends one append at a time until the last common entry of the two logs is found.
	modeProbe replicationMode = iota
	// modeReplicate sends appends without waiting for the replies to earlier ones.
	modeReplicate
	// modeSnapshot sends a snapshot chunk by chunk.
	modeSnapshot
)

// progress is the leader's view of one member.
type progress struct {
	// match is the highest index up to which the member's persisted log is known to agree with the leader's.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	mode replicationMode
	// paused is set in modeProbe and modeSnapshot while a reply is awaited.
	paused bool
	// inflight counts the unacknowledged appends in modeReplicate.
	inflight int
	// lastContactTick is the leader's tick at the member's last reply.
	lastContactTick uint64
	// recentlyActive is set by a reply and cleared by each quorum check.
	recentlyActive bool
	// sentCommit is the commit index that the last append carried.
	sentCommit uint64
	// ackedContext is the highest heartbeat context that the member has acknowledged, which confirms reads.
	ackedContext uint64
	// snapshot is the one that is being sent, and offset is the position of its current chunk.
	snapshot *Snapshot
	offset   uint64
}

// startProbe switches to modeProbe, from the index next on.
func (p *progress) startProbe(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = 0
	p.snapshot = nil
}

// acknowledge records that the member has persisted the leader's log up to index. It reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.inflight = max(p.inflight-1, 0)
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.mode == modeSnapshot && p.match < p.snapshot.Index {
		return advanced
	}
	if p.mode != modeReplicate {
		p.mode = modeReplicate
		p.inflight = 0
		p.snapshot = nil
	}
	p.paused = false
	return advanced
}

// sendBlocked reports whether the leader must wait for a reply before it sends more to the member.
func (p *progress) sendBlocked(maxInflight int) bool {
	if p.mode == modeReplicate {
		return p.inflight >= maxInflight
	}
	return p.paused
}
