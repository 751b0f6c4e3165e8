package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of the name of each metric.
const namespace = "samphireflow"

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func counter(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

func boolValue(flag bool) float64 {
	if flag {
		return 1
	}
	return 0
}
