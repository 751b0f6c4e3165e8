package replica

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

const (
	// silentTimeouts is how many election timeouts a member must be silent before another folder may take its place.
	silentTimeouts = 4
	// deadTimeouts is the same before a member of an open group is removed or a new instance takes its place: 2 s at an
	// election timeout of 400 ms. It is short because the group outlives no further loss until then; a member that comes
	// back later joins again.
	deadTimeouts = 5
	// closedDeadTimeouts is the same in a closed group, whose members do not come back by themselves: 6 s, longer than a
	// restart takes.
	closedDeadTimeouts = 15
	// joinerTimeouts is the number of election timeouts for which a question to join stays valid.
	joinerTimeouts = 4
)

// leaderView answers the questions of nextMembership from the leader's node.
type leaderView struct {
	node *raft.Node
	// timeout is the shortest election timeout in ticks.
	timeout uint64
	// open says that the group is.
	open bool
}

func (v leaderView) silent(id string) bool {
	return v.unheard(id, silentTimeouts)
}

func (v leaderView) dead(id string) bool {
	if v.open {
		return v.unheard(id, deadTimeouts)
	}
	return v.unheard(id, closedDeadTimeouts)
}

// unheard reports whether a member was not heard for a number of election timeouts.
func (v leaderView) unheard(id string, timeouts uint64) bool {
	ticks, known := v.node.TicksSinceContact(id)
	return known && ticks >= timeouts*v.timeout
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
		if j.tick+joinerTimeouts*r.electionTicks() < r.node.Ticks() {
			delete(r.joiners, name)
			continue
		}
		asking = append(asking, j.member)
	}
	sortMembers(asking)
	next, due := nextMembership(r.node.Membership().GetMembers(), asking, admission{r.options.OpenGroup, r.invited},
		leaderView{r.node, r.electionTicks(), r.options.OpenGroup})
	if !due {
		return
	}
	if _, _, err := r.node.ProposeMembership(&apiv1.ReplicaMembership{Members: next}); err == nil {
		r.options.Logger.Info().Interface("members", membersOf(next)).Msg("the control group changes")
	}
}

// electionTicks is the shortest election timeout.
func (r *Replica) electionTicks() uint64 {
	if r.options.ElectionTicks > 0 {
		return uint64(r.options.ElectionTicks)
	}
	return raft.DefaultElectionTicks
}
