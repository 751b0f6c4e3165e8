package replica

import (
	"sort"
	"time"
)

// Status is what a replica knows of itself and its group.
type Status struct {
	ID string
	// Leader is the leader's ID and LeaderAddr its control address; both are empty when none is known.
	Leader     string
	LeaderAddr string
	Term       uint64
	Commit     uint64
	Applied    uint64
	IsLeader   bool
	// Members lists voters and learners, Voters the IDs of the voters.
	Members []Member
	Voters  []string
	// Joiners lists the names of instances that ask this leader to join.
	Joiners []string
	// Identity is that of the data folder.
	Identity string
	// LastContact is the time since the leader was heard, or since the leader heard a quorum.
	LastContact time.Duration
	// LogBytes is the size of the log on disk, in bytes.
	LogBytes int64
	// SnapshotIndex is the index of the newest snapshot.
	SnapshotIndex uint64
	contactAt     time.Time
}

// Status returns the newest status; it is safe for concurrent use.
func (r *Replica) Status() Status {
	status := *r.status.Load()
	status.LastContact = r.options.Now().Sub(status.contactAt)
	return status
}

// publish makes the status after a step of the loop.
func (r *Replica) publish() {
	node := r.node
	leader := r.member(node.Leader())
	status := &Status{
		ID:            r.options.ID,
		Leader:        leader.ID,
		LeaderAddr:    leader.ControlAddr,
		Identity:      r.identity.Identity,
		Term:          node.Term(),
		Commit:        node.Commit(),
		Applied:       node.Applied(),
		IsLeader:      node.Leader() == node.ID(),
		Members:       membersOf(node.Membership().GetMembers()),
		contactAt:     r.clock.at(node.LastContactTick()),
		LogBytes:      r.log.Bytes(),
		SnapshotIndex: node.SnapshotIndex(),
	}
	for _, member := range status.Members {
		if !member.Learner {
			status.Voters = append(status.Voters, member.ID)
		}
	}
	for name := range r.joiners {
		status.Joiners = append(status.Joiners, name)
	}
	sort.Strings(status.Joiners)
	r.logChange(r.status.Load(), status)
	r.status.Store(status)
}

// logChange tells of another leader or another set of members.
func (r *Replica) logChange(before, now *Status) {
	if before == nil {
		before = &Status{}
	}
	if before.Leader != now.Leader || (before.Term != now.Term && now.Leader != "") {
		r.options.Logger.Info().Str("leader", now.Leader).Str("leader_before", before.Leader).Uint64("term", now.Term).
			Uint64("commit", now.Commit).Bool("leads", now.IsLeader).Msg("leader of the control group changed")
	}
	if len(before.Members) != len(now.Members) || len(before.Voters) != len(now.Voters) {
		r.options.Logger.Info().Interface("members", now.Members).Strs("voters", now.Voters).Msg("members of the control group changed")
	}
}
