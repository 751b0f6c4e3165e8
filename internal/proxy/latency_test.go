package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLatencyThroughAGate checks the latency of a call through a gate. Versions are compared by latency, so it
// must be that of the backend server, not of both hops.
func TestLatencyThroughAGate(t *testing.T) {
	for _, c := range []struct {
		name, header   string
		bothHops, want time.Duration
	}{
		{"the gate says", "2000", 5 * time.Millisecond, 2 * time.Millisecond},
		{"the gate does not say", "", 5 * time.Millisecond, 5 * time.Millisecond},
		{"no number", "fast", 5 * time.Millisecond, 5 * time.Millisecond},
		{"negative", "-1", 5 * time.Millisecond, 5 * time.Millisecond},
		{"longer than both hops", "9000", 5 * time.Millisecond, 5 * time.Millisecond},
	} {
		got := &bufferedResponse{header: http.Header{}, latency: c.bothHops}
		got.header.Set(headerLatency, c.header)
		require.Equal(t, c.want, readLatency(got), c.name)
	}
}
