package ingress

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/customer"
	"samphireflow/internal/quota"
	"samphireflow/internal/tree"
)

// fakeQuotas decides alike on all calls and records what it was asked.
type fakeQuotas struct {
	decision        quota.Decision
	taken, returned int
}

func (q *fakeQuotas) Take(context.Context, *customer.Customer) quota.Decision {
	q.taken++
	return q.decision
}

func (q *fakeQuotas) Return(quota.Decision) { q.returned++ }

// TestQuotaIsAskedBeforeACallIsSent lists decisions and results of the only attempts with the expected status. A call beyond the
// quota reaches no backend server, and one that certainly has not run does not count.
func TestQuotaIsAskedBeforeACallIsSent(t *testing.T) {
	allowed := quota.Decision{Allowed: true, Known: true}
	for _, c := range []struct {
		name            string
		rate            string
		decision        quota.Decision
		result          *calls.Result
		status          int
		retryAfter      string
		sent            bool
		taken, returned int
	}{
		{"within the quota", "5", allowed, answeredResult(200, ""), 200, "", true, 1, 0},
		{"beyond the quota", "5", quota.Decision{Known: true, RetryAfter: 120 * time.Millisecond}, nil, 429, "0.120", false, 1, 0},
		{"no owner can be asked", "5", quota.Decision{RetryAfter: 250 * time.Millisecond}, nil, 503, "0.250", false, 1, 0},
		{"no backend server has room", "5", allowed, &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}, 503, "0.050", true, 1, 1},
		{"may have run", "5", allowed, &calls.Result{Outcome: calls.Unknown}, 502, "", true, 1, 0},
		{"failed", "5", allowed, answeredResult(500, ""), 500, "", true, 1, 0},
		{"no quota", "0", quota.Decision{Known: true}, answeredResult(200, ""), 200, "", true, 0, 0},
	} {
		sent := false
		f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
			sent = true
			return c.result
		})
		snap := f.ingress.options.Table().Snapshot
		f.requireKeys(false)
		snap.Customers[0].Settings = append(snap.Customers[0].Settings, &apiv1.Setting{Key: tree.KeyCustomerRate, Value: c.rate})
		f.rebuild()
		quotas := &fakeQuotas{decision: c.decision}
		f.ingress.options.Quotas = quotas
		request := httptest.NewRequest("POST", "/book/", nil)
		request.RequestURI, request.Host = "/book/", "h"
		request.Header.Set("Authorization", "Bearer k1")
		recorder := httptest.NewRecorder()
		f.ingress.ServeHTTP(recorder, request)
		require.Equal(t, c.status, recorder.Code, c.name)
		require.Equal(t, c.retryAfter, recorder.Header().Get("Retry-After"), c.name)
		require.Equal(t, c.sent, sent, c.name)
		require.Equal(t, c.taken, quotas.taken, c.name)
		require.Equal(t, c.returned, quotas.returned, c.name)
	}
}

// TestPublicCallsDoNotCount: calls without a key, as those of backend servers to each other, have no quota.
func TestPublicCallsDoNotCount(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(200, "") })
	f.requireKeys(true)
	f.ingress.options.Quotas = &fakeQuotas{}
	require.Equal(t, 200, f.call("GET", "/lookup/", "").Code)
}
