package state

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// Assignments lists the agreed sets of nodes by failure domain and role. The messages must not be changed.
func (v *View) Assignments() []*apiv1.Assignment {
	return v.assignments
}

// Assignment returns the agreed set of nodes for a role in a failure domain, nil when there is none.
func (v *View) Assignment(failureDomain string, role apiv1.AssignmentRole) *apiv1.Assignment {
	for _, assignment := range v.assignments {
		if assignment.FailureDomain == failureDomain && assignment.Role == role {
			return assignment
		}
	}
	return nil
}

// assign replaces an assignment. It refuses a stale epoch and a set that differs from the one in force in more
// than one node added or one node removed, so that quorums of following epochs can be made to intersect.
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
	next.history = appendHistory(view.history, &apiv1.HistoryEntry{
		Version:        next.Version,
		AcceptedUnixMs: now,
		Detail:         fmt.Sprintf("%s in %s, epoch %d", wanted.Role, wanted.FailureDomain, wanted.Epoch),
	})
	m.publish(next)
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: next.Version}
}

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

func withAssignment(list []*apiv1.Assignment, wanted *apiv1.Assignment) []*apiv1.Assignment {
	var changed []*apiv1.Assignment
	for _, assignment := range list {
		if assignment.FailureDomain != wanted.FailureDomain || assignment.Role != wanted.Role {
			changed = append(changed, assignment)
		}
	}
	changed = append(changed, wanted)
	sort.Slice(changed, func(i, j int) bool {
		if changed[i].FailureDomain != changed[j].FailureDomain {
			return changed[i].FailureDomain < changed[j].FailureDomain
		}
		return changed[i].Role < changed[j].Role
	})
	return changed
}
