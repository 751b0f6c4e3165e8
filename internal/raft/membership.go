package raft

import (
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// maxLearnerLag is how many entries a learner may be behind when it becomes a voter.
const maxLearnerLag = 16

// ProposeMembership appends a new membership to a leader's log; it holds from the moment it is appended.
func (n *Node) ProposeMembership(next *apiv1.ReplicaMembership) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if own, _ := n.log.term(n.log.committed); own != n.term || n.log.membershipIndex() > n.log.committed {
		return 0, 0, ErrMembershipChangePending
	}
	if err := n.checkChange(next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, ErrInvalidMembershipChange
	}
	index = n.appendOwn(apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	n.syncProgress()
	n.broadcastAppend()
	return index, n.term, nil
}

// checkChange makes sure that any majority of the old voters meets any majority of the new ones.
func (n *Node) checkChange(next *apiv1.ReplicaMembership) error {
	before, after := memberKinds(n.log.membership()), memberKinds(next)
	if len(after) != len(next.Members) {
		return ErrInvalidMembershipChange
	}
	changes, voters := 0, 0
	for id, learner := range after {
		was, known := before[id]
		if !learner {
			voters++
		}
		if !known || was != learner {
			changes++
		}
		if !learner && (!known || was) && !n.caughtUp(id) {
			return ErrLearnerBehind
		}
	}
	for id := range before {
		if _, kept := after[id]; !kept {
			changes++
		}
	}
	if changes != 1 || voters == 0 {
		return ErrInvalidMembershipChange
	}
	return nil
}

// memberKinds maps the identity of each member to whether it is a learner.
func memberKinds(membership *apiv1.ReplicaMembership) map[string]bool {
	kinds := map[string]bool{}
	for _, member := range membership.Members {
		kinds[member.Id] = member.Learner
	}
	return kinds
}

func (n *Node) caughtUp(id string) bool {
	p := n.progress[id]
	return p != nil && p.active && p.match+maxLearnerLag >= n.log.last()
}

// syncProgress gives every member a progress and forgets those of former members.
func (n *Node) syncProgress() {
	current := map[string]*progress{}
	for _, member := range n.log.membership().Members {
		p := n.progress[member.Id]
		if p == nil {
			p = &progress{next: n.log.last() + 1, lastSeen: n.ticks, active: true}
		}
		current[member.Id] = p
	}
	if self := current[n.cfg.ID]; self != nil {
		self.match = n.log.stored
	}
	n.progress = current
}

// peers lists the other members, in the order of the membership.
func (n *Node) peers() []string {
	var list []string
	for _, member := range n.log.membership().Members {
		if member.Id != n.cfg.ID {
			list = append(list, member.Id)
		}
	}
	return list
}
