package replica

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

const (
	// silentTicks is how long a member must be silent before another folder may take its place.
	silentTicks = 4 * raft.DefaultElectionTicks
	// deadTicks is how long a voter must be silent before a new instance takes its place: 6 s at the default tick, longer
	// than a restart takes.
	deadTicks = 15 * raft.DefaultElectionTicks
	// joinerTicks is how long a question to join stays valid.
	joinerTicks = 4 * raft.DefaultElectionTicks
)

// leaderView answers the questions of nextMembership from the leader's node.
type leaderView struct {
	node *raft.Node
}

func (v leaderView) silent(id string) bool {
	ticks, known := v.node.SilentTicks(id)
	return known && ticks >= silentTicks
}

func (v leaderView) dead(id string) bool {
	ticks, known := v.node.SilentTicks(id)
	return known && ticks >= deadTicks
}

func (v leaderView) caughtUp(id string) bool {
	return v.node.CaughtUp(id)
}

// maintain makes the leader's next change of the membership, if one is due.
func (r *Replica) maintain() {
	if r.node.Role() != raft.Leader {
		clear(r.joiners)
		return
	}
	var asking []*apiv1.ReplicaMember
	for name, j := range r.joiners {
		if j.tick+joinerTicks < r.node.Ticks() {
			delete(r.joiners, name)
			continue
		}
		asking = append(asking, j.member)
	}
	sortMembers(asking)
	next, due := nextMembership(r.node.Membership().GetMembers(), asking, r.mayJoin, leaderView{r.node})
	if !due {
		return
	}
	if _, _, err := r.node.ProposeMembership(&apiv1.ReplicaMembership{Members: next}); err == nil {
		r.options.Logger.Info().Interface("members", membersOf(next)).Msg("the control group changes")
	}
}

// mayJoin reports whether an instance of a new name may join the group.
func (r *Replica) mayJoin(name string) bool {
	return r.options.Open || r.invited[name]
}
