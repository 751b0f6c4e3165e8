package replica

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// memberHealth is what the leader knows about the state of the members when it decides on the next change.
type memberHealth interface {
	// silent reports whether a member has been out of contact long enough for an instance of the same name with another
	// data folder to replace it.
	silent(id string) bool
	// dead reports whether a member has been out of contact long enough to be removed or replaced by any instance.
	dead(id string) bool
	// caughtUp reports whether a learner has enough of the log to become a voter.
	caughtUp(id string) bool
}

// minVotersFor returns the number of live voters that an open group must have left after it removes a dead one. A
// majority of fewer could be among those that are lost at once, and three are the least that tolerate any loss.
func minVotersFor(toleratedLosses int) int {
	return max(2*toleratedLosses+1, 3)
}

// maxVoters is the number of voters that an open group has at most. Seven tolerate the loss of three; each further one
// would add its copy of the log to what each commit waits for and sends. Further instances stay learners: they serve
// watches and reads, and take the place of a voter that dies.
const maxVoters = 7

// joinPolicy decides which new names may join a group, and which members leave it.
type joinPolicy struct {
	// openGroup admits all instances, and removes dead ones.
	openGroup bool
	// invited holds the names that an operator has invited.
	invited map[string]bool
	// minVoters is the number of live voters that must be left beside a dead one that is removed.
	minVoters int
}

func (p joinPolicy) mayJoin(name string) bool {
	return p.openGroup || p.invited[name]
}

// nextMembership returns the membership after the next change, and false if no change is due. One call changes one
// member.
//
// An instance that lost its data folder joins again under its name with a new identity, once the leader has no contact
// with the old one. It joins as a learner and catches up; then the old voter is removed and the learner becomes a
// voter. The learner is marked when the old voter is removed, so that it takes this place and not that of another voter
// that is silent meanwhile: a closed group does not take that one back by itself. An instance with a new name may join
// only if an operator has invited it or the group is open. It replaces a dead voter if there is one, so that replacing
// instances does not increase the size of the quorum.
//
// An open group also removes dead members that are not replaced. A dead voter is removed only if at least
// policy.minVoters live voters remain. Without these removals, a voter that dies just before its replacement becomes a
// voter would count towards the quorum forever. A member that was only partitioned joins again.
//
// An open group promotes learners up to maxVoters voters, those of the failure domains with the fewest voters first, so
// that the loss of a failure domain takes as few voters as possible.
func nextMembership(members []*apiv1.ReplicaMember, joiners []*apiv1.ReplicaMember, policy joinPolicy, health memberHealth) ([]*apiv1.ReplicaMember, bool) {
	for _, learner := range promotable(members, health) {
		if replaced := voterWithSameName(members, learner); replaced != nil {
			return withPlaceTaken(withoutMember(members, replaced.Id), learner.Id), true
		}
		if learner.TakesPlace {
			return withPromoted(members, learner.Id), true
		}
		if dead := deadVoter(members, health); dead != nil {
			return withoutMember(members, dead.Id), true
		}
		if !policy.openGroup || countVoters(members) < maxVoters {
			return withPromoted(members, learner.Id), true
		}
	}
	if dead := removableMember(members, policy, health); dead != nil {
		return withoutMember(members, dead.Id), true
	}
	for _, joiner := range joiners {
		replaced := voterWithSameName(members, joiner)
		if findMember(members, joiner.Id) != nil || (replaced == nil && !policy.mayJoin(joiner.Name)) {
			continue
		}
		if replaced != nil && !health.silent(replaced.Id) {
			continue
		}
		if stale := learnerWithSameName(members, joiner); stale != nil {
			return withoutMember(members, stale.Id), true
		}
		return withLearner(members, joiner), true
	}
	return nil, false
}

// promotable returns the learners that have caught up, those of the failure domains with the fewest voters first.
func promotable(members []*apiv1.ReplicaMember, health memberHealth) []*apiv1.ReplicaMember {
	voters := map[string]int{}
	var learners []*apiv1.ReplicaMember
	for _, member := range members {
		switch {
		case !member.Learner:
			voters[member.FailureDomain]++
		case health.caughtUp(member.Id):
			learners = append(learners, member)
		}
	}
	slices.SortStableFunc(learners, func(a, b *apiv1.ReplicaMember) int { return voters[a.FailureDomain] - voters[b.FailureDomain] })
	return learners
}

func countVoters(members []*apiv1.ReplicaMember) int {
	count := 0
	for _, member := range members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// voterWithSameName returns the voter that has the name of member but another identity, if any.
func voterWithSameName(members []*apiv1.ReplicaMember, member *apiv1.ReplicaMember) *apiv1.ReplicaMember {
	for _, other := range members {
		if other.Name == member.Name && other.Id != member.Id && !other.Learner {
			return other
		}
	}
	return nil
}

// deadVoter returns the first dead voter, if any.
func deadVoter(members []*apiv1.ReplicaMember, health memberHealth) *apiv1.ReplicaMember {
	for _, member := range members {
		if !member.Learner && health.dead(member.Id) {
			return member
		}
	}
	return nil
}

// removableMember returns a dead member that an open group can remove without a replacement, if any.
func removableMember(members []*apiv1.ReplicaMember, policy joinPolicy, health memberHealth) *apiv1.ReplicaMember {
	if !policy.openGroup {
		return nil
	}
	live := 0
	for _, member := range members {
		if member.Learner && health.dead(member.Id) {
			return member
		}
		if !member.Learner && !health.dead(member.Id) {
			live++
		}
	}
	if live < policy.minVoters {
		return nil
	}
	return deadVoter(members, health)
}

// learnerWithSameName returns the learner that has the name of member but another identity, if any. Its data folder was
// lost before it became a voter.
func learnerWithSameName(members []*apiv1.ReplicaMember, member *apiv1.ReplicaMember) *apiv1.ReplicaMember {
	for _, other := range members {
		if other.Name == member.Name && other.Id != member.Id && other.Learner {
			return other
		}
	}
	return nil
}

func findMember(members []*apiv1.ReplicaMember, id string) *apiv1.ReplicaMember {
	for _, member := range members {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func withoutMember(members []*apiv1.ReplicaMember, id string) []*apiv1.ReplicaMember {
	var kept []*apiv1.ReplicaMember
	for _, member := range members {
		if member.Id != id {
			kept = append(kept, member)
		}
	}
	return kept
}

// withPromoted returns the members with a learner turned into a voter.
func withPromoted(members []*apiv1.ReplicaMember, id string) []*apiv1.ReplicaMember {
	voter := proto.Clone(findMember(members, id)).(*apiv1.ReplicaMember)
	voter.Learner, voter.TakesPlace = false, false
	return sorted(append(withoutMember(members, id), voter))
}

// withPlaceTaken returns the members with a learner marked to take the place of a voter that is removed in the same change.
func withPlaceTaken(members []*apiv1.ReplicaMember, id string) []*apiv1.ReplicaMember {
	learner := proto.Clone(findMember(members, id)).(*apiv1.ReplicaMember)
	learner.TakesPlace = true
	return sorted(append(withoutMember(members, id), learner))
}

func withLearner(members []*apiv1.ReplicaMember, joiner *apiv1.ReplicaMember) []*apiv1.ReplicaMember {
	learner := proto.Clone(joiner).(*apiv1.ReplicaMember)
	learner.Learner, learner.TakesPlace = true, false
	return sorted(append(withoutMember(members, joiner.Id), learner))
}

func sorted(members []*apiv1.ReplicaMember) []*apiv1.ReplicaMember {
	sortMembers(members)
	return members
}
