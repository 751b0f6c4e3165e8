package replica

import (
	"sort"
	"time"
)

// Status is the state of a replica and of its group as the replica knows it.
type Status struct {
	// ID is the name of the instance.
	ID string
	// Leader is the leader's ID and LeaderAddr its control address. Both are empty if no leader is known.
	Leader     string
	LeaderAddr string
	Term       uint64
	Commit     uint64
	Applied    uint64
	IsLeader   bool
	// Members lists the voters and learners, and Voters the IDs of the voters.
	Members []Member
	Voters  []string
	// Joiners lists the names of the instances whose join requests are pending. It is empty if this replica is not the
	// leader.
	Joiners []string
	// Identity is the identity of the data folder.
	Identity string
	// LastContact is the time since a follower received a message from the leader, or the leader messages from a
	// quorum.
	LastContact time.Duration
	// Paused is set while the disk is full.
	Paused bool
	// LogBytes is the size of the log on disk, in bytes.
	LogBytes int64
	// SnapshotIndex is the index of the newest snapshot.
	SnapshotIndex uint64
	lastContactAt time.Time
}

// Status returns the current status.
func (r *Replica) Status() Status {
	status := *r.status.Load()
	status.LastContact = r.options.Now().Sub(status.lastContactAt)
	return status
}

// publishStatus updates the status that Status returns. The loop calls it after each batch.
func (r *Replica) publishStatus() {
	node := r.node
	leader := r.memberByIdentity(node.Leader())
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
		lastContactAt: r.clock.timeOf(node.LastContactTick()),
		LogBytes:      r.log.Bytes(),
		SnapshotIndex: node.SnapshotIndex(),
	}
	for _, member := range status.Members {
		if !member.Learner {
			status.Voters = append(status.Voters, member.ID)
		}
	}
	for name := range r.joinRequests {
		status.Joiners = append(status.Joiners, name)
	}
	sort.Strings(status.Joiners)
	r.logChanges(r.status.Load(), status)
	r.status.Store(status)
}

// logChanges logs a change of the leader, the term or the number of members or voters.
func (r *Replica) logChanges(before, now *Status) {
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
