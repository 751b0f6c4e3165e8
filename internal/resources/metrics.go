package resources

import "github.com/prometheus/client_golang/prometheus"

var (
	connsDescription = prometheus.NewDesc("samphireflow_connections",
		"Open connections by listener.", []string{"listener"}, nil)
	heldDescription = prometheus.NewDesc("samphireflow_connections_held_bytes",
		"Memory that connections and their requests hold, by listener.", []string{"listener"}, nil)
	refusedDescription = prometheus.NewDesc("samphireflow_connections_refused_total",
		"Connections and requests refused or closed for want of room or of progress, and responses not buffered, by listener and by what was done.",
		[]string{"listener", "what"}, nil)
)

// Metrics is a prometheus.Collector of what an account holds and has refused.
type Metrics struct {
	account *Account
}

// NewMetrics returns the metrics of an account.
func NewMetrics(account *Account) *Metrics {
	return &Metrics{account}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- connsDescription
	descriptions <- heldDescription
	descriptions <- refusedDescription
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range m.account.Status() {
		metrics <- prometheus.MustNewConstMetric(connsDescription, prometheus.GaugeValue, float64(s.Conns), s.Class)
		metrics <- prometheus.MustNewConstMetric(heldDescription, prometheus.GaugeValue, float64(s.Held), s.Class)
		for what, count := range map[string]int{
			"connection": s.Refusals.Connections, "request": s.Refusals.Requests, "displaced": s.Refusals.Displaced, "stalled": s.Refusals.Stalled,
			"unbuffered": s.Refusals.Unbuffered,
		} {
			metrics <- prometheus.MustNewConstMetric(refusedDescription, prometheus.CounterValue, float64(count), s.Class, what)
		}
	}
}
