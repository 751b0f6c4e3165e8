package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// TestRefusingServerIsNotTriedAgain guards against a call that meets, on a kept connection, the refusal of its own earlier attempt: a
// backend server that has refused a call gets no second attempt of it. A gate that refuses it asks the backend server nothing.
func TestRefusingServerIsNotTriedAgain(t *testing.T) {
	for _, path := range []string{"/lookup/1", "/book/1"} {
		for _, reason := range []calls.Reason{calls.ReasonShed, calls.ReasonMisdirected, calls.ReasonDraining, calls.ReasonUnreachable} {
			refused := map[string]int{}
			f := newFixture(t, func(_ *calls.Call, instance string, _ time.Time) *calls.Result {
				refused[instance]++
				return &calls.Result{Outcome: calls.NotRun, Reason: reason}
			})
			require.Equal(t, http.StatusServiceUnavailable, f.call("POST", path, "x").Code)
			require.NotEmpty(t, refused)
			for instance, count := range refused {
				require.Equal(t, 1, count, "%s of %s: %s", path, instance, reason)
			}
		}
	}
}
