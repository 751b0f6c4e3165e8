package document

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseReadsBranches(t *testing.T) {
	doc, problems := Parse("edit.yaml", []byte(`# night settings
branches:
  /:
    call.timeout: 2000ms
    retry.limit: 3
    retry.budget: null
  /services/rota-board: {}
  /services/rota-board/routes/lookup:
    route.idempotent: yes-not
    note: "3"
  /services/old: null
`))
	require.Nil(t, doc)
	require.Len(t, problems, 1)
	require.Equal(t, `edit.yaml:9:23: /services/rota-board/routes/lookup: route.idempotent: "yes-not" is not true or false`, problems[0].String())

	doc, problems = Parse("edit.yaml", []byte("branches:\n  /:\n    call.timeout: 2000ms\n    retry.limit: 3\n    retry.budget: null\n  /services/old: null\n  /services/new: {}\n"))
	require.Empty(t, problems)
	require.Len(t, doc.Branches, 3)
	require.Equal(t, "2s", doc.Branches[0].Settings[0].Value)
	require.Equal(t, "3", doc.Branches[0].Settings[1].Value)
	require.True(t, doc.Branches[0].Settings[2].Unset)
	require.True(t, doc.Branches[1].Remove)
	require.False(t, doc.Branches[2].Remove)
	position, ok := doc.FindPosition("/", "retry.limit")
	require.True(t, ok)
	require.Equal(t, "edit.yaml:4:5", position.String())
}

func TestParseListsAllProblems(t *testing.T) {
	_, problems := Parse("f", []byte("branch: 1\nbranches:\n  nowhere: {}\n  /:\n    no.such: 1\n    retry.limit: [1]\n    call.timeout: soon\n  /sites/x: 3\n"))
	var lines []string
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	require.Equal(t, []string{
		`f:1:1: unknown key "branch"; the only top-level key is branches`,
		`f:3:3: "nowhere": not a branch path`,
		`f:5:5: /: no.such: unknown key`,
		`f:6:18: /: retry.limit: the value must be a single value, or null to unset it`,
		`f:7:19: /: call.timeout: "soon" is not a duration such as 250ms`,
		`f:8:13: /sites/x: a branch must map keys to values, or be null to remove it`,
	}, lines)
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "- a\n", "branches: 3\n", "branches: {}\n---\nbranches: {}\n", "branches:\n  /:\n   a: 1\n  a: [\n", "branches:\n  /: {}\n  /: {}\n"} {
		doc, problems := Parse("f", []byte(text))
		require.Nil(t, doc, text)
		require.NotEmpty(t, problems, text)
		require.NotZero(t, problems[0].Position.Line, text)
	}
}
