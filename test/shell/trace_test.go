package shell

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/deployment"
)

// span holds the fields that the test reads of a span written by the file exporter.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func TestTraceHasASpanForEachHop(t *testing.T) {
	dir := t.TempDir()
	s := startSmall(t, func(d *deployment.Deployment) { d.EnableTracing(dir) })
	const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	s.call(t, http.MethodPost, "/shifts", "", http.Header{"Traceparent": {"00-" + traceID + "-" + callerSpan + "-01"}})
	require.NoError(t, s.Terminate(s.server))
	require.NoError(t, s.Terminate(s.node))

	byName := map[string]span{}
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	require.NoError(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for line := range bytes.Lines(text) {
			var next span
			require.NoError(t, json.Unmarshal(line, &next))
			require.Equal(t, traceID, next.SpanContext.TraceID, "other requests are not sampled")
			byName[next.Name] = next
		}
	}
	require.Len(t, byName, 3)
	parent := callerSpan
	for _, name := range []string{"node POST", "send POST", "backend-server POST"} {
		require.Equal(t, parent, byName[name].Parent.SpanID, name)
		parent = byName[name].SpanContext.SpanID
	}
}
