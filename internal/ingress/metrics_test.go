package ingress

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// TestEveryRefusalOfAGateIsCounted refuses a call in time and late at each gate that it asks.
func TestEveryRefusalOfAGateIsCounted(t *testing.T) {
	r := newRig(t, func(*calls.Call, string, time.Time) *calls.Result {
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
	})
	registry := prometheus.NewRegistry()
	r.ingress.options.Metrics = NewMetrics(registry)
	r.call("GET", "/lookup/", "")
	require.NotEmpty(t, r.sent)
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "samphireflow_ingress_gate_refusals_total" {
			require.Equal(t, float64(len(r.sent)), family.GetMetric()[0].GetCounter().GetValue())
			return
		}
	}
	t.Fatal("the metric is missing")
}
