package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of an ingress. A nil Metrics records nothing.
type Metrics struct {
	calls    *prometheus.CounterVec
	duration prometheus.Histogram
	sends    prometheus.Counter
	refusals prometheus.Counter
	passedOn prometheus.Counter
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
		passedOn: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphireflow_ingress_passed_on_total",
			Help: "Attempts that a gate with a free slot refused because its machine is slow at this moment.",
		}),
	}
	registry.MustRegister(m.calls, m.duration, m.sends, m.refusals, m.passedOn)
	return m
}

// observe records a call that has ended; refused is nil if a backend server's response was forwarded.
func (m *Metrics) observe(d *dispatch, refused *refusal, duration time.Duration) {
	if m == nil {
		return
	}
	status, by := http.StatusOK, "backend-server"
	if refused != nil {
		status, by = refused.status, "node"
	} else if d.last != nil && d.last.Response != nil {
		status = d.last.Response.Status
	}
	m.calls.WithLabelValues(strconv.Itoa(status), by).Inc()
	m.duration.Observe(duration.Seconds())
	m.sends.Add(float64(d.sends))
	m.refusals.Add(float64(d.attempts.refusals()))
	m.passedOn.Add(float64(d.slowRefusals))
}
