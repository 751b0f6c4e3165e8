package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// TestCallsArePassedOnBySlowGates lets the first gate pass the call on: the next one is asked for an answer on time, and the
// service does not count as overloaded.
func TestCallsArePassedOnBySlowGates(t *testing.T) {
	var finishBy []time.Time
	f := newFixture(t, func(c *calls.Call, _ string, by time.Time) *calls.Result {
		finishBy = append(finishBy, by)
		if len(finishBy) == 1 {
			return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonSlow}
		}
		require.True(t, by.Before(c.Objective))
		return answeredResult(http.StatusOK, "")
	})
	require.Equal(t, http.StatusOK, f.call("GET", "/lookup/", "").Code)
	require.Len(t, f.sent, 2)
	require.False(t, f.ingress.overloads.overloaded("rota", time.Now()))
}

// TestFullLinksDoNotMakeAServiceCountAsOverloaded lets two gates refuse a call for their links: it is made late, as after other
// refusals, while calls with short responses are still asked for on time.
func TestFullLinksDoNotMakeAServiceCountAsOverloaded(t *testing.T) {
	var late []bool
	f := newFixture(t, func(c *calls.Call, _ string, by time.Time) *calls.Result {
		if late = append(late, !by.Before(c.Objective)); len(late) < 3 {
			return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonLink, RetryAfter: time.Second}
		}
		return answeredResult(http.StatusOK, "")
	})
	require.Equal(t, http.StatusOK, f.call("GET", "/lookup/", "").Code)
	require.Equal(t, []bool{false, true, true}, late)
	require.False(t, f.ingress.overloads.overloaded("rota", time.Now()))
}

// TestCallIsServedThoughAllGatesAreSlow covers a moment in which all machines are slow: a call that was passed on by each of
// them gives up its objective and is served, since slots are free.
func TestCallIsServedThoughAllGatesAreSlow(t *testing.T) {
	f := newFixture(t, func(c *calls.Call, _ string, by time.Time) *calls.Result {
		if by.Before(c.Objective) {
			return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonSlow}
		}
		return answeredResult(http.StatusOK, "")
	})
	require.Equal(t, http.StatusOK, f.call("POST", "/book/", "data").Code)
	require.Len(t, f.sent, 4)
}
