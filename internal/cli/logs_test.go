package cli

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLogsPrintLinesOfRequestAndOfBeliefs(t *testing.T) {
	node := writeDocument(t, `{"time":10,"instance":"n","message":"configuration applied","version":3}
{"time":30,"instance":"n","message":"call refused or failed","request_id":"r1"}`)
	gate := writeDocument(t, `{"time":20,"instance":"g","message":"attempt without an answer","request_id":"r1"}
{"time":25,"instance":"g","message":"started"}`)

	got := runTool("logs", "request", "r1", node, gate)
	require.Equal(t, int(ExitOK), got.code, got.stderr)
	require.Equal(t, `{"time":20,"instance":"g","message":"attempt without an answer","request_id":"r1"}
{"time":30,"instance":"n","message":"call refused or failed","request_id":"r1"}
`, got.stdout)

	got = runTool("logs", "beliefs", "--instance", "g", node, gate)
	require.Equal(t, int(ExitOK), got.code, got.stderr)
	require.Equal(t, "{\"time\":25,\"instance\":\"g\",\"message\":\"started\"}\n", got.stdout)

	got = runTool("logs", "request", "r2", node, gate)
	require.Equal(t, int(ExitRefused), got.code)
	require.Contains(t, got.stderr, "no such line in 2 files")

	require.Equal(t, int(ExitUsage), runTool("logs", "request", "r1", node+".missing").code)
}
