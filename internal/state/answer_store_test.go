package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// TestRefusalsOfLargeEditsAreBounded guards against stored answers that grow without limit: each of them lists the faults
// of a refused edit, and their number alone was bounded.
func TestRefusalsOfLargeEditsAreBounded(t *testing.T) {
	before := heapInUse()
	m := NewMachine()
	apply := func(index uint64, edit *apiv1.EditRequest) *apiv1.EditResponse {
		data, err := proto.Marshal(&apiv1.Command{Kind: &apiv1.Command_Edit{Edit: edit}})
		require.NoError(t, err)
		result := &apiv1.CommandResult{}
		require.NoError(t, proto.Unmarshal(m.Apply(index, 1, data), result))
		return result.Edit
	}
	first := &apiv1.EditRequest{EditId: "first", Operator: "ana", Branches: []*apiv1.BranchEdit{{Path: "/services/rota"}}}
	require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, apply(1, first).Outcome)
	edit := &apiv1.EditRequest{Operator: "ana"}
	for i := range 2000 {
		edit.Branches = append(edit.Branches, &apiv1.BranchEdit{
			Path:    fmt.Sprintf("/services/s%d", i),
			Changes: []*apiv1.Change{{Key: "unknown." + strings.Repeat("k", 40), Value: "v"}},
		})
	}
	for i := range uint64(400) {
		edit.EditId = fmt.Sprintf("edit-%d", i)
		require.Equal(t, apiv1.EditOutcome_EDIT_OUTCOME_INVALID, apply(i+2, edit).Outcome)
	}
	require.Less(t, heapInUse()-before, int64(stateHeapLimit))
	require.True(t, apply(402, edit).RepeatedAnswer, "the newest answer is kept")
	repeated := apply(403, first)
	require.True(t, repeated.RepeatedAnswer, "the answer to an accepted edit outlasts refusals")
	require.EqualValues(t, 1, repeated.Version)
}
