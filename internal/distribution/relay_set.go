package distribution

import (
	apiv1 "samphireflow/api/v1"
)

// RelaysOf returns the relays of a snapshot's failure domain, nil when none are assigned.
func RelaysOf(snap *apiv1.Snapshot) *apiv1.Assignment {
	for _, assignment := range snap.GetAssignments() {
		if assignment.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY && assignment.FailureDomain == snap.FailureDomain {
			return assignment
		}
	}
	return nil
}

// IsRelay reports whether an instance is one of the relays, or was one in the previous set.
func IsRelay(relays *apiv1.Assignment, instance string) bool {
	return containsInstance(relays.GetNodes(), instance) || containsInstance(relays.GetPrevious(), instance)
}

func containsInstance(nodes []*apiv1.AssignedNode, instance string) bool {
	for _, node := range nodes {
		if node.Instance == instance {
			return true
		}
	}
	return false
}

// newerAssignment returns the assignment with the higher epoch.
func newerAssignment(a, b *apiv1.Assignment) *apiv1.Assignment {
	if b.GetEpoch() > a.GetEpoch() {
		return b
	}
	return a
}
