package state

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Assignments lists the assignments, sorted by failure domain and role. Each one names the nodes that have a role in a
// failure domain. The caller must not modify the messages.
func (v *View) Assignments() []*apiv1.Assignment {
	return v.assignments
}

// Assignment returns the assignment for a role in a failure domain, or nil if there is none. The caller must not modify
// the message.
func (v *View) Assignment(failureDomain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	for _, assignment := range v.assignments {
		if assignment.FailureDomain == failureDomain && assignment.Role == role {
			return assignment
		}
	}
	return nil
}

// assign replaces an assignment. It refuses a stale epoch, and a set of nodes that adds or removes more than one node at
// once: with at most one node replaced, quorums of consecutive epochs can be made to intersect.
func (m *Machine) assign(wanted *apiv1.Assignment, now int64, term uint64) *apiv1.EditResponse {
	view := m.View()
	current := view.Assignment(wanted.FailureDomain, wanted.Role)
	if wanted.Epoch != current.GetEpoch()+1 {
		return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, Version: view.Version, Detail: "the epoch is stale"}
	}
	if added, removed := countChanges(current, wanted); current != nil && (added > 1 || removed > 1) {
		return &apiv1.EditResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID,
			Version: view.Version,
			Detail:  fmt.Sprintf("%d nodes added and %d removed at once", added, removed),
		}
	}
	next := view.next(term)
	wanted = proto.Clone(wanted).(*apiv1.Assignment)
	wanted.Previous = current.GetNodes()
	wanted.Version = next.Version
	next.assignments = withAssignment(view.assignments, wanted)
	next.history = view.history.with(&apiv1.HistoryEntry{
		Version:        next.Version,
		AcceptedUnixMs: now,
		Detail:         fmt.Sprintf("%s in %s, epoch %d", wanted.Role, wanted.FailureDomain, wanted.Epoch),
	})
	m.setView(next)
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: next.Version}
}

// countChanges returns the number of nodes that the wanted assignment adds to the current one and removes from it.
func countChanges(current, wanted *apiv1.Assignment) (added, removed int) {
	before := map[string]bool{}
	for _, node := range current.GetNodes() {
		before[node.Instance] = true
	}
	for _, node := range wanted.Nodes {
		if !before[node.Instance] {
			added++
		}
		delete(before, node.Instance)
	}
	return added, len(before)
}

// withAssignment returns a sorted copy of the assignments in which the wanted one replaces that of its failure domain
// and role.
func withAssignment(assignments []*apiv1.Assignment, wanted *apiv1.Assignment) []*apiv1.Assignment {
	var result []*apiv1.Assignment
	for _, assignment := range assignments {
		if assignment.FailureDomain != wanted.FailureDomain || assignment.Role != wanted.Role {
			result = append(result, assignment)
		}
	}
	result = append(result, wanted)
	sort.Slice(result, func(i, j int) bool {
		if result[i].FailureDomain != result[j].FailureDomain {
			return result[i].FailureDomain < result[j].FailureDomain
		}
		return result[i].Role < result[j].Role
	})
	return result
}
