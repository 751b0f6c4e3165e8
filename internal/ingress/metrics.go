package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts calls. A nil Metrics counts nothing.
type Metrics struct {
	calls    *prometheus.CounterVec
	duration prometheus.Histogram
	sends    prometheus.Counter
	refusals prometheus.Counter
}

// NewMetrics registers the metrics of an ingress.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_ingress_calls_total",
			Help: "Calls of callers by status of the answer and by who made it.",
		}, []string{"status", "by"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "samphireflow_ingress_call_seconds",
			Help:    "Time from the arrival of a call to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		sends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphireflow_ingress_sends_total",
			Help: "Attempts that backend servers may have run.",
		}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphireflow_ingress_gate_refusals_total",
			Help: "Refusals by gates for want of room.",
		}),
	}
	registry.MustRegister(m.calls, m.duration, m.sends, m.refusals)
	return m
}

func (m *Metrics) observe(t *trip, bad *refusal, took time.Duration) {
	if m == nil {
		return
	}
	status, by := http.StatusOK, "backend-server"
	if bad != nil {
		status, by = bad.status, "node"
	} else if t.last != nil && t.last.Response != nil {
		status = t.last.Response.Status
	}
	m.calls.WithLabelValues(strconv.Itoa(status), by).Inc()
	m.duration.Observe(took.Seconds())
	m.sends.Add(float64(t.sends))
	m.refusals.Add(float64(t.history.refusals()))
}
