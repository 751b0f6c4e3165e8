package replica

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

const (
	// silentTimeouts is the number of election timeouts without contact after which an instance of the same name with
	// another data folder may replace a member.
	silentTimeouts = 4
	// openDeadTimeouts is the number of election timeouts without contact after which a member of an open group may be
	// removed or replaced by a new instance: 2 s at an election timeout of 400 ms. It is short because the group may
	// not survive another failure until then. A member that returns later joins again.
	openDeadTimeouts = 5
	// closedDeadTimeouts is the number for a closed group, whose members do not join again by themselves: 6 s at an
	// election timeout of 400 ms, longer than a restart takes.
	closedDeadTimeouts = 15
	// joinRequestTimeouts is the number of election timeouts for which the leader remembers a join request.
	joinRequestTimeouts = 4
)

// leaderHealth implements memberHealth with the contact times of the leader's Raft node.
type leaderHealth struct {
	node *raft.Node
	// electionTicks is the shortest election timeout, in ticks.
	electionTicks uint64
	// openGroup is set if instances may join without an invitation.
	openGroup bool
}

func (h leaderHealth) silent(id string) bool {
	return h.silentFor(id, silentTimeouts)
}

func (h leaderHealth) dead(id string) bool {
	if h.openGroup {
		return h.silentFor(id, openDeadTimeouts)
	}
	return h.silentFor(id, closedDeadTimeouts)
}

// silentFor reports whether the leader has received nothing from a member for a number of election timeouts.
func (h leaderHealth) silentFor(id string, timeouts uint64) bool {
	ticks, known := h.node.TicksSinceContact(id)
	return known && ticks >= timeouts*h.electionTicks
}

func (h leaderHealth) caughtUp(id string) bool {
	return h.node.CaughtUp(id)
}

// maintainMembership proposes the next change of the membership if this replica is the leader and a change is due.
func (r *Replica) maintainMembership() {
	if r.node.Role() != raft.Leader {
		clear(r.joinRequests)
		return
	}
	var joiners []*apiv1.ReplicaMember
	for name, request := range r.joinRequests {
		if request.receivedTick+joinRequestTimeouts*r.electionTicks() < r.node.Ticks() {
			delete(r.joinRequests, name)
			continue
		}
		joiners = append(joiners, request.member)
	}
	sortMembers(joiners)
	current := r.node.Membership()
	invited := make(map[string]bool, len(current.Invited))
	for _, name := range current.Invited {
		invited[name] = true
	}
	policy := joinPolicy{
		openGroup: r.options.OpenGroup,
		invited:   invited,
		minVoters: minVotersFor(r.options.ToleratedLosses),
	}
	next, due := nextMembership(current.Members, joiners, policy,
		leaderHealth{r.node, r.electionTicks(), r.options.OpenGroup})
	if !due {
		return
	}
	if _, _, err := r.node.ProposeMembership(&apiv1.ReplicaMembership{Members: next, Invited: current.Invited}); err == nil {
		r.options.Logger.Info().Interface("members", membersOf(next)).Msg("the control group changes")
	}
}

// electionTicks returns the shortest election timeout, in ticks.
func (r *Replica) electionTicks() uint64 {
	if r.options.ElectionTicks > 0 {
		return uint64(r.options.ElectionTicks)
	}
	return raft.DefaultElectionTicks
}
