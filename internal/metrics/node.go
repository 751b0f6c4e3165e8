package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphireflow/internal/node"
	"samphireflow/internal/outcome"
)

// nodeCollector collects the metrics of a node.
type nodeCollector struct {
	node      *node.Node
	version   *prometheus.Desc
	refused   *prometheus.Desc
	age       *prometheus.Desc
	attempts  *prometheus.Desc
	broken    *prometheus.Desc
	evacuated *prometheus.Desc
}

// NewNode returns the collector of a node.
func NewNode(n *node.Node) prometheus.Collector {
	return &nodeCollector{
		node:      n,
		version:   newDesc("node_config_version", "Configuration version that this node acts on."),
		refused:   newDesc("node_config_refused_version", "Newest configuration version that this node refused; 0 for none."),
		age:       newDesc("node_config_age_seconds", "Time since the node last heard what is accepted."),
		attempts:  newDesc("node_attempts_total", "Attempts that backend servers answered or failed, by result.", "service", "version", "route", "result"),
		broken:    newDesc("node_attempts_broken_total", "Attempts that ended without a whole answer.", "service", "version", "route"),
		evacuated: newDesc("node_evacuated_domains", "Failure domains that are evacuated in the configuration that this node acts on."),
	}
}

// Describe implements prometheus.Collector.
func (c *nodeCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c *nodeCollector) Collect(out chan<- prometheus.Metric) {
	status := c.node.Status()
	out <- gauge(c.version, float64(status.Snapshot.GetVersion()))
	out <- gauge(c.refused, float64(status.RefusedVersion))
	out <- gauge(c.evacuated, float64(len(status.Snapshot.GetEvacuatedDomains())))
	if !status.LastWatchResponse.IsZero() {
		out <- gauge(c.age, time.Since(status.LastWatchResponse).Seconds())
	}
	for _, total := range c.node.Recorder().Totals() {
		c.collectTotal(out, total)
	}
}

func (c *nodeCollector) collectTotal(out chan<- prometheus.Metric, total outcome.Total) {
	key := total.Key
	out <- counter(c.attempts, float64(total.OK), key.Service, key.Version, key.Route, "ok")
	out <- counter(c.attempts, float64(total.Errors), key.Service, key.Version, key.Route, "error")
	out <- counter(c.broken, float64(total.Broken), key.Service, key.Version, key.Route)
}
