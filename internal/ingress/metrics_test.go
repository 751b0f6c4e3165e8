package ingress

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"samphireflow/internal/calls"
)

// TestGateRefusalsAreCounted refuses the attempt on time and the late attempts of a call, and expects each to be counted.
func TestGateRefusalsAreCounted(t *testing.T) {
	f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result {
		return &calls.Result{Outcome: calls.NotRun, Reason: calls.ReasonFull}
	})
	registry := prometheus.NewRegistry()
	f.ingress.options.Metrics = NewMetrics(registry)
	f.call("GET", "/lookup/", "")
	require.NotEmpty(t, f.sent)
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "samphireflow_ingress_gate_refusals_total" {
			require.Equal(t, float64(len(f.sent)), family.GetMetric()[0].GetCounter().GetValue())
			return
		}
	}
	t.Fatal("the metric is missing")
}
