package raft

// replicationMode says how a leader feeds one follower.
type replicationMode int

const (
	// modeProbe sends one append at a time until the place of agreement is found.
	modeProbe replicationMode = iota
	// modeReplicate sends appends ahead of their answers.
	modeReplicate
	// modeSnapshot sends the pieces of a snapshot.
	modeSnapshot
)

// progress is what a leader knows of one member.
type progress struct {
	match uint64
	next  uint64
	mode  replicationMode
	// paused is set in modeProbe and modeSnapshot while an answer is awaited.
	paused   bool
	inflight int
	// lastSeen is the leader's tick of the last answer.
	lastSeen uint64
	// active is set by an answer and cleared by each check of the quorum.
	active bool
	// toldCommit is the commit index that the last append carried.
	toldCommit uint64
	// readContext is the highest read confirmation that the member has answered.
	readContext uint64
	// snapshot is being sent; offset is the next byte.
	snapshot *Snapshot
	offset   uint64
}

func (p *progress) probeFrom(next uint64) {
	p.mode = modeProbe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = 0
	p.snapshot = nil
}

// acknowledge notes that the member holds the log up to an index. It reports whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	p.inflight = max(p.inflight-1, 0)
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.mode == modeSnapshot && p.match < p.snapshot.Index {
		return news
	}
	if p.mode != modeReplicate {
		p.mode = modeReplicate
		p.inflight = 0
		p.snapshot = nil
	}
	p.paused = false
	return news
}

func (p *progress) blocked(maxInflight int) bool {
	if p.mode == modeReplicate {
		return p.inflight >= maxInflight
	}
	return p.paused
}
