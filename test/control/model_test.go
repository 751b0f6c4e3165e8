package control

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"

	apiv1 "samphireflow/api/v1"
)

// request is what an operator asks: an edit of one branch, or a read of the versions of all branches.
type request struct {
	read   bool
	editID string
	branch int
	base   uint64
	// resent is set when an earlier answer to the edit was lost.
	resent bool
}

// answer is what the operator is told.
type answer struct {
	// unknown is set when no answer came.
	unknown bool
	outcome apiv1.EditOutcome
	// version is the one that an edit made, or that a read saw.
	version uint64
	// current is the version of the branch that an edit lost against.
	current  uint64
	wonBy    string
	repeated bool
	// branches are the versions of the branches that a read saw.
	branches [branchCount]uint64
}

// final reports whether the answer tells what became of the request.
func (a answer) final() bool {
	switch a.outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		return true
	}
	return false
}

// treeModel is the tree as operators should see it.
type treeModel struct {
	version  uint64
	branches [branchCount]uint64
	editors  [branchCount]string
	answers  map[string]answer
}

// step tells whether an answer is right in a state, and the state after it.
func (m treeModel) step(in request, out answer) (bool, treeModel) {
	if in.read {
		return out.version == m.version && out.branches == m.branches, m
	}
	want, next := m.edit(in)
	if in.resent {
		// The lost answer may have been the first one.
		out.repeated = want.repeated
	}
	return out == want, next
}

func (m treeModel) edit(in request) (answer, treeModel) {
	if first, known := m.answers[in.editID]; known {
		first.repeated = true
		return first, m
	}
	want := answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT, version: m.version, current: m.branches[in.branch], wonBy: m.editors[in.branch]}
	if in.base == m.branches[in.branch] {
		m.version++
		m.branches[in.branch] = m.version
		m.editors[in.branch] = in.editID
		want = answer{outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, version: m.version}
	}
	m.answers = maps.Clone(m.answers)
	m.answers[in.editID] = want
	return want, m
}

// modelFrom returns the model of a tree that starts at a version without any of the branches.
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
