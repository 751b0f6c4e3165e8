package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTookIsTheExchangeOfTheGate checks the time by which versions are compared when a call went by a gate.
func TestTookIsTheExchangeOfTheGate(t *testing.T) {
	for _, c := range []struct {
		name, header string
		both, want   time.Duration
	}{
		{"the gate says", "2000", 5 * time.Millisecond, 2 * time.Millisecond},
		{"the gate does not say", "", 5 * time.Millisecond, 5 * time.Millisecond},
		{"no number", "fast", 5 * time.Millisecond, 5 * time.Millisecond},
		{"negative", "-1", 5 * time.Millisecond, 5 * time.Millisecond},
		{"longer than both hops", "9000", 5 * time.Millisecond, 5 * time.Millisecond},
	} {
		got := &answer{header: http.Header{}, took: c.both}
		got.header.Set(headerTook, c.header)
		require.Equal(t, c.want, readTook(got), c.name)
	}
}
