package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// maxLearnerLag is the number of entries by which a learner may lag behind the leader's log when it is promoted to voter.
const maxLearnerLag = 16

// ProposeMembership appends a new membership to a leader's log and returns its index and term there. The membership is in
// effect as soon as it is appended, not only once it is committed.
func (n *Node) ProposeMembership(next *apiv1.ReplicaMembership) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if committedTerm, _ := n.log.term(n.log.committed); committedTerm != n.term || n.log.latestMembershipIndex() > n.log.committed {
		return 0, 0, ErrMembershipChangePending
	}
	if err := n.checkMembershipChange(next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, ErrInvalidMembershipChange
	}
	index = n.appendEntry(apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	n.reconcileProgress()
	n.broadcastAppend()
	return index, n.term, nil
}

// checkMembershipChange allows only changes of one member, so that any majority of the old voters and any majority of the
// new ones have a member in common, or a change of the invitations alone. It also refuses to promote a member that has not
// caught up.
func (n *Node) checkMembershipChange(next *apiv1.ReplicaMembership) error {
	before, after := learnersByID(n.log.latestMembership()), learnersByID(next)
	if len(after) != len(next.Members) {
		return ErrInvalidMembershipChange
	}
	changes, voters := 0, 0
	for id, learner := range after {
		wasLearner, wasMember := before[id]
		if !learner {
			voters++
		}
		if !wasMember || wasLearner != learner {
			changes++
		}
		if !learner && (!wasMember || wasLearner) && !n.caughtUp(id) {
			return ErrLearnerBehind
		}
	}
	for id := range before {
		if _, stillMember := after[id]; !stillMember {
			changes++
		}
	}
	if changes == 0 && !slices.Equal(n.log.latestMembership().Invited, next.Invited) {
		return nil
	}
	if changes != 1 || voters == 0 {
		return ErrInvalidMembershipChange
	}
	return nil
}

// learnersByID maps the ID of each member to whether it is a learner.
func learnersByID(membership *apiv1.ReplicaMembership) map[string]bool {
	learners := map[string]bool{}
	for _, member := range membership.Members {
		learners[member.Id] = member.Learner
	}
	return learners
}

// caughtUp reports whether a member has been active since the last quorum check and lags by at most maxLearnerLag entries.
func (n *Node) caughtUp(id string) bool {
	p := n.progress[id]
	return p != nil && p.recentlyActive && p.match+maxLearnerLag >= n.log.last()
}

// reconcileProgress adds a progress for each new member and drops those of former members.
func (n *Node) reconcileProgress() {
	current := map[string]*progress{}
	for _, member := range n.log.latestMembership().Members {
		p := n.progress[member.Id]
		if p == nil {
			p = &progress{next: n.log.last() + 1, lastContactTick: n.ticks, recentlyActive: true}
		}
		current[member.Id] = p
	}
	if self := current[n.cfg.ID]; self != nil {
		self.match = n.log.persisted
	}
	n.progress = current
}

// peers returns the IDs of the other members, in the order of the membership.
func (n *Node) peers() []string {
	var list []string
	for _, member := range n.log.latestMembership().Members {
		if member.Id != n.cfg.ID {
			list = append(list, member.Id)
		}
	}
	return list
}
