package replica

import (
	apiv1 "samphireflow/api/v1"
)

// memberView is what a leader knows of the members when it decides on the next change.
type memberView interface {
	// silent reports whether a member was not heard for long.
	silent(id string) bool
	// dead reports whether a member was not heard for so long that another may replace it.
	dead(id string) bool
	caughtUp(id string) bool
}

// minVoters is how many voters an open group keeps when it removes dead ones by itself: the least that outlives the
// loss of one.
const minVoters = 3

// admission says which instances may join a group without an operator.
type admission struct {
	// open lets all join.
	open bool
	// invited holds the names that an operator has let in.
	invited map[string]bool
}

func (a admission) mayJoin(name string) bool {
	return a.open || a.invited[name]
}

// nextMembership decides on the next single change of the membership, if one is due.
//
// A blank folder of a known name takes the place of that name's old folder, once the old one is silent: it joins
// as a learner, catches up, the old voter is removed and the learner gets its vote. A new name joins only when an
// operator has invited it or the group is open. It takes the place of a voter that is dead, if there is one, so that the
// quorum does not grow with each instance that is exchanged.
//
// An open group also removes dead members by themselves while minVoters others live: one that died just before its
// successor got its vote would else weigh in the quorum for good. Who was only cut off asks to join again.
func nextMembership(members []*apiv1.ReplicaMember, joiners []*apiv1.ReplicaMember, admitted admission, view memberView) ([]*apiv1.ReplicaMember, bool) {
	for _, learner := range members {
		if !learner.Learner || !view.caughtUp(learner.Id) {
			continue
		}
		if old := otherFolder(members, learner); old != nil {
			return without(members, old.Id), true
		}
		if dead := deadVoter(members, view); dead != nil {
			return without(members, dead.Id), true
		}
		return promoted(members, learner.Id), true
	}
	if dead := removable(members, admitted, view); dead != nil {
		return without(members, dead.Id), true
	}
	for _, asking := range joiners {
		old := otherFolder(members, asking)
		if find(members, asking.Id) != nil || (old == nil && !admitted.mayJoin(asking.Name)) {
			continue
		}
		if old != nil && !view.silent(old.Id) {
			continue
		}
		if stale := staleLearner(members, asking); stale != nil {
			return without(members, stale.Id), true
		}
		return withLearner(members, asking), true
	}
	return nil, false
}

// otherFolder returns a voter of the same name with another folder.
func otherFolder(members []*apiv1.ReplicaMember, member *apiv1.ReplicaMember) *apiv1.ReplicaMember {
	for _, other := range members {
		if other.Name == member.Name && other.Id != member.Id && !other.Learner {
			return other
		}
	}
	return nil
}

// deadVoter returns a voter that a caught-up learner may replace.
func deadVoter(members []*apiv1.ReplicaMember, view memberView) *apiv1.ReplicaMember {
	for _, member := range members {
		if !member.Learner && view.dead(member.Id) {
			return member
		}
	}
	return nil
}

// removable returns a dead member that an open group does without.
func removable(members []*apiv1.ReplicaMember, admitted admission, view memberView) *apiv1.ReplicaMember {
	if !admitted.open {
		return nil
	}
	live := 0
	for _, member := range members {
		if member.Learner && view.dead(member.Id) {
			return member
		}
		if !member.Learner && !view.dead(member.Id) {
			live++
		}
	}
	if live < minVoters {
		return nil
	}
	return deadVoter(members, view)
}

// staleLearner returns a learner of the same name whose folder was lost before it had caught up.
func staleLearner(members []*apiv1.ReplicaMember, member *apiv1.ReplicaMember) *apiv1.ReplicaMember {
	for _, other := range members {
		if other.Name == member.Name && other.Id != member.Id && other.Learner {
			return other
		}
	}
	return nil
}

func find(members []*apiv1.ReplicaMember, id string) *apiv1.ReplicaMember {
	for _, member := range members {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func without(members []*apiv1.ReplicaMember, id string) []*apiv1.ReplicaMember {
	var kept []*apiv1.ReplicaMember
	for _, member := range members {
		if member.Id != id {
			kept = append(kept, member)
		}
	}
	return kept
}

func promoted(members []*apiv1.ReplicaMember, id string) []*apiv1.ReplicaMember {
	learner := find(members, id)
	voter := &apiv1.ReplicaMember{Id: learner.Id, Name: learner.Name, ControlAddr: learner.ControlAddr}
	return sorted(append(without(members, id), voter))
}

func withLearner(members []*apiv1.ReplicaMember, asking *apiv1.ReplicaMember) []*apiv1.ReplicaMember {
	learner := &apiv1.ReplicaMember{Id: asking.Id, Name: asking.Name, ControlAddr: asking.ControlAddr, Learner: true}
	return sorted(append(without(members, asking.Id), learner))
}

func sorted(members []*apiv1.ReplicaMember) []*apiv1.ReplicaMember {
	sortMembers(members)
	return members
}
