package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"samphireflow/internal/distribution"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
)

// ControlSource provides the values of the metrics of a control instance.
type ControlSource struct {
	// Log returns the state of the replicated log.
	Log func() replica.Status
	// View returns the newest configuration.
	View func() *state.View
	// Members returns the numbers of nodes and of backend servers that hold a lease.
	Members func() (nodes, servers int)
	// Serving returns what this control instance has sent to watchers.
	Serving func() distribution.ServingTotals
}

// controlCollector collects the metrics of a control instance.
type controlCollector struct {
	source  ControlSource
	version *prometheus.Desc
	term    *prometheus.Desc
	commit  *prometheus.Desc
	applied *prometheus.Desc
	leads   *prometheus.Desc
	paused  *prometheus.Desc
	contact *prometheus.Desc
	moves   *prometheus.Desc
	members *prometheus.Desc
	work    *prometheus.Desc
	updates *prometheus.Desc
	bytes   *prometheus.Desc
	delay   *prometheus.Desc
}

// NewControl returns the collector of a control instance.
func NewControl(source ControlSource) prometheus.Collector {
	return &controlCollector{
		source:  source,
		version: newDesc("config_version", "Configuration version that this control instance has applied."),
		term:    newDesc("log_term", "Term of the replicated log."),
		commit:  newDesc("log_commit_index", "Highest index of the log that is known to be committed."),
		applied: newDesc("log_applied_index", "Highest index of the log that is applied."),
		leads:   newDesc("log_leader", "1 while this control instance leads."),
		paused:  newDesc("log_paused", "1 while this control instance takes no part because its disk is full."),
		contact: newDesc("log_contact_age_seconds", "Time since a leader or a quorum was heard."),
		moves:   newDesc("moves_active", "Moves that have not ended."),
		members: newDesc("members", "Members that hold a lease.", "kind"),
		work:    newDesc("config_work_seconds_total", "Time spent on building snapshots and on encoding updates.", "step"),
		updates: newDesc("config_updates_total", "Configuration updates sent to watchers.", "kind"),
		bytes:   newDesc("config_update_bytes_total", "Encoded bytes of the updates sent to watchers.", "kind"),
		delay:   newDesc("config_update_delay_seconds", "Time from the application of a version in this process to its updates."),
	}
}

// Describe implements prometheus.Collector.
func (c *controlCollector) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect implements prometheus.Collector.
func (c *controlCollector) Collect(out chan<- prometheus.Metric) {
	status, view := c.source.Log(), c.source.View()
	nodes, servers := c.source.Members()
	out <- gauge(c.version, float64(view.Version))
	out <- gauge(c.term, float64(status.Term))
	out <- gauge(c.commit, float64(status.Commit))
	out <- gauge(c.applied, float64(status.Applied))
	out <- gauge(c.leads, boolValue(status.IsLeader))
	out <- gauge(c.paused, boolValue(status.Paused))
	out <- gauge(c.contact, status.LastContact.Seconds())
	out <- gauge(c.moves, float64(countActiveMoves(view)))
	out <- gauge(c.members, float64(nodes), "node")
	out <- gauge(c.members, float64(servers), "backend-server")
	c.collectServing(out, c.source.Serving())
}

func (c *controlCollector) collectServing(out chan<- prometheus.Metric, totals distribution.ServingTotals) {
	out <- counter(c.work, totals.Build.Seconds(), "build")
	out <- counter(c.work, totals.Encode.Seconds(), "encode")
	out <- counter(c.updates, float64(totals.Deltas), "delta")
	out <- counter(c.updates, float64(totals.Snapshots), "snapshot")
	out <- counter(c.bytes, float64(totals.DeltaBytes), "delta")
	out <- counter(c.bytes, float64(totals.SnapshotBytes), "snapshot")
	buckets := make(map[float64]uint64, len(distribution.DelayBuckets))
	for i, bound := range distribution.DelayBuckets {
		buckets[bound] = totals.Delays[i]
	}
	out <- prometheus.MustNewConstHistogram(c.delay, totals.Deltas+totals.Snapshots, totals.DelaySum.Seconds(), buckets)
}

func countActiveMoves(view *state.View) int {
	active := 0
	for _, move := range view.Moves() {
		if state.Active(move) {
			active++
		}
	}
	return active
}
