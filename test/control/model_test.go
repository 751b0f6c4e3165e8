package control

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	apiv1 "samphireflow/api/v1"
)

// request is an operator's request: an edit of one branch, or a read of the versions of all branches.
type request struct {
	read   bool
	editID string
	branch int
	base   uint64
	// resent is true if an earlier answer to the edit was lost.
	resent bool
}

// answer is the answer to a request.
type answer struct {
	// unknown is true if no answer arrived.
	unknown bool
	outcome apiv1.EditOutcome
	// version is the version of the tree that an edit made, that it conflicted with, or that a read returned.
	version uint64
	// current is the version of the branch at a conflict, and wonBy the ID of the edit that made it.
	current uint64
	wonBy   string
	// repeated is true if the answer is the stored one of an earlier attempt.
	repeated bool
	// branches are the versions of the branches that a read returned.
	branches [branchCount]uint64
}

// final reports whether the answer decides an edit: it was accepted, is in conflict or is invalid.
func (a answer) final() bool {
	switch a.outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		return true
	}
	return false
}

// treeModel is the sequential model of the tree.
type treeModel struct {
	version     uint64
	branches    [branchCount]uint64
	lastEditIDs [branchCount]string
	answers     map[string]answer
}

// step reports whether an answer is correct in the state m, and returns the state after the request.
func (m treeModel) step(in request, out answer) (bool, treeModel) {
	if in.read {
		return out.version == m.version && out.branches == m.branches, m
	}
	want, next := m.edit(in)
	if in.resent {
		// The lost answer may have been the first one, so this one may or may not be marked as repeated.
		out.repeated = want.repeated
	}
	return out == want, next
}

func (m treeModel) edit(in request) (answer, treeModel) {
	if first, known := m.answers[in.editID]; known {
		first.repeated = true
		return first, m
	}
	want := answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, version: m.version, current: m.branches[in.branch], wonBy: m.lastEditIDs[in.branch]}
	if in.base == m.branches[in.branch] {
		m.version++
		m.branches[in.branch] = m.version
		m.lastEditIDs[in.branch] = in.editID
		want = answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, version: m.version}
	}
	m.answers = maps.Clone(m.answers)
	m.answers[in.editID] = want
	return want, m
}

// modelFrom returns the model of a tree that starts at the given version and has none of the branches.
func modelFrom(version uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return treeModel{version: version, answers: map[string]answer{}} },
		Step: func(state, input, output any) (bool, any) {
			return state.(treeModel).step(input.(request), output.(answer))
		},
		Equal: func(a, b any) bool {
			left, right := a.(treeModel), b.(treeModel)
			return left.version == right.version && left.branches == right.branches && maps.Equal(left.answers, right.answers)
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}
