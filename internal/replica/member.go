package replica

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Member is a voter or learner of the control group.
type Member struct {
	// ID is the instance's name in its settings.
	ID string
	// ControlAddr is the IP address and port of the instance's control API.
	ControlAddr string
	// FailureDomain is empty for a member that joined before instances told theirs.
	FailureDomain string
	// Learner marks a member that receives the log but has no vote.
	Learner bool
	// Identity is the identity of the instance's data folder, by which Raft messages address the member.
	Identity string
}

func memberOf(member *apiv1.ReplicaMember) Member {
	return Member{ID: member.Name, ControlAddr: member.ControlAddr, FailureDomain: member.FailureDomain, Learner: member.Learner, Identity: member.Id}
}

func membersOf(list []*apiv1.ReplicaMember) []Member {
	members := make([]Member, 0, len(list))
	for _, member := range list {
		members = append(members, memberOf(member))
	}
	return members
}

func sortMembers(list []*apiv1.ReplicaMember) {
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
}
