package snapshot

import (
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// assignmentKey identifies an assignment: there is one per failure domain and role.
type assignmentKey struct {
	failureDomain string
	role          apiv1.AssignmentRole
}

func assignmentKeyOf(a *apiv1.Assignment) assignmentKey {
	return assignmentKey{a.FailureDomain, a.Role}
}

// diffAssignments lists the assignments that changed or were added. Assignments are never removed.
func diffAssignments(from, to []*apiv1.Assignment) []*apiv1.Assignment {
	old := indexAssignments(from)
	var changed []*apiv1.Assignment
	for _, assignment := range to {
		if before := old[assignmentKeyOf(assignment)]; !proto.Equal(before, assignment) {
			changed = append(changed, assignment)
		}
	}
	return changed
}

// applyAssignments returns the assignments with the changed ones replaced or added, in canonical order.
func applyAssignments(from, changed []*apiv1.Assignment) []*apiv1.Assignment {
	merged := indexAssignments(from)
	for _, assignment := range changed {
		merged[assignmentKeyOf(assignment)] = assignment
	}
	list := make([]*apiv1.Assignment, 0, len(merged))
	for _, assignment := range merged {
		list = append(list, assignment)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].FailureDomain != list[j].FailureDomain {
			return list[i].FailureDomain < list[j].FailureDomain
		}
		return list[i].Role < list[j].Role
	})
	return list
}

func indexAssignments(list []*apiv1.Assignment) map[assignmentKey]*apiv1.Assignment {
	index := make(map[assignmentKey]*apiv1.Assignment, len(list))
	for _, assignment := range list {
		index[assignmentKeyOf(assignment)] = assignment
	}
	return index
}
