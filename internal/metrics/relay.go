package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"samphireflow/internal/distribution"
)

// relayCollector collects the metrics of the relay in a node's process.
type relayCollector struct {
	status   func() distribution.RelayStatus
	working  *prometheus.Desc
	synced   *prometheus.Desc
	held     *prometheus.Desc
	released *prometheus.Desc
	age      *prometheus.Desc
}

// NewRelay returns the collector of a relay.
func NewRelay(status func() distribution.RelayStatus) prometheus.Collector {
	return &relayCollector{
		status:   status,
		working:  newDesc("relay_working", "1 while this node is one of the assigned relays."),
		synced:   newDesc("relay_synced", "1 once this relay counts in quorums after its start."),
		held:     newDesc("relay_held_version", "Newest configuration version that this relay holds."),
		released: newDesc("relay_released_version", "Newest configuration version that a quorum of the relays holds."),
		age:      newDesc("relay_age_seconds", "Time since a quorum of the control group was heard, through whomever."),
	}
}

// Describe implements prometheus.Collector.
func (c *relayCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c *relayCollector) Collect(out chan<- prometheus.Metric) {
	status := c.status()
	out <- gauge(c.working, boolValue(status.Working))
	if !status.Working {
		return
	}
	out <- gauge(c.synced, boolValue(status.Synced))
	out <- gauge(c.held, float64(status.Held))
	out <- gauge(c.released, float64(status.Released))
	out <- gauge(c.age, status.Age.Seconds())
}
