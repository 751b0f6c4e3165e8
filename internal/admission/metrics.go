package admission

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of a Controller. A nil Metrics records nothing.
type Metrics struct {
	refusals *prometheus.CounterVec
	inner    *prometheus.CounterVec
	limited  *prometheus.GaugeVec
}

// NewMetrics registers the metrics of a controller.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_admission_refusals_total",
			Help: "Calls refused before their run because a service that the run would call has no room.",
		}, []string{"inner_service"}),
		inner: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_admission_inner_calls_total",
			Help: "Calls of runs of the backend server beside the node, by how they ended: served, no-room or failed.",
		}, []string{"end"}),
		limited: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphireflow_admission_limited",
			Help: "1 while calls are limited by the room of a service that their runs call.",
		}, []string{"inner_service"}),
	}
	registry.MustRegister(m.refusals, m.inner, m.limited)
	return m
}

func (m *Metrics) countRefusal(service string) {
	if m != nil {
		m.refusals.WithLabelValues(service).Inc()
	}
}

func (m *Metrics) countInner(answer Answer) {
	if m == nil {
		return
	}
	end := "failed"
	switch {
	case answer.NoRoom:
		end = "no-room"
	case answer.Served:
		end = "served"
	}
	m.inner.WithLabelValues(end).Inc()
}

func (m *Metrics) setLimited(service string, limited bool) {
	if m == nil {
		return
	}
	value := 0.0
	if limited {
		value = 1
	}
	m.limited.WithLabelValues(service).Set(value)
}
