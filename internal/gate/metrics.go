package gate

import (
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers the metrics of a gate.
func (g *Gate) RegisterMetrics(registry prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	registry.MustRegister(
		gauge("samphireflow_gate_slowdown", "Time that work takes on the machine of the backend server relative to the usual; 0 if it is not told.",
			func() float64 { return g.Load().Slowdown }),
		gauge("samphireflow_gate_link_wait_seconds", "Time that the link takes for the long responses that are promised to other nodes.",
			func() float64 { return g.Load().LinkWait.Seconds() }),
		gauge("samphireflow_gate_held_bytes", "Bytes of long responses that were read from the backend server and are not sent yet.",
			func() float64 { return float64(g.options.Link.Held()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "samphireflow_gate_share_refusals_total",
			Help: "Calls that were refused because their customer had more than its share while others waited.",
		}, func() float64 { return float64(g.shareRefusals.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "samphireflow_gate_link_refusals_total",
			Help: "Calls that were refused because the link would have sent their response too late.",
		}, func() float64 { return float64(g.options.Link.Refusals()) }),
	)
}
