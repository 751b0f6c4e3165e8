package replica

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Member is one instance of the control group.
type Member struct {
	ID string
	// ControlAddr is the IP number and port of the instance's control API.
	ControlAddr string
	// Learner is set for a member that receives the log but has no vote.
	Learner bool
}

func membershipOf(members []Member) *apiv1.ReplicaMembership {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	membership := &apiv1.ReplicaMembership{}
	for _, member := range sorted {
		membership.Members = append(membership.Members, &apiv1.ReplicaMember{Id: member.ID, ControlAddr: member.ControlAddr, Learner: member.Learner})
	}
	return membership
}

func membersOf(membership *apiv1.ReplicaMembership) []Member {
	var members []Member
	for _, member := range membership.GetMembers() {
		members = append(members, Member{ID: member.Id, ControlAddr: member.ControlAddr, Learner: member.Learner})
	}
	return members
}
