package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"samphireflow/internal/replica"
	"samphireflow/internal/state"
)

// ControlSource is what the metrics of a control instance are read from.
type ControlSource struct {
	// Log returns the state of the replicated log.
	Log func() replica.Status
	// View returns the newest configuration.
	View func() *state.View
	// Members returns the number of leased nodes and backend servers.
	Members func() (nodes, servers int)
}

// control collects the metrics of a control instance.
type control struct {
	source  ControlSource
	version *prometheus.Desc
	term    *prometheus.Desc
	commit  *prometheus.Desc
	applied *prometheus.Desc
	leads   *prometheus.Desc
	contact *prometheus.Desc
	moves   *prometheus.Desc
	members *prometheus.Desc
}

// NewControl returns the collector of a control instance.
func NewControl(source ControlSource) prometheus.Collector {
	return &control{
		source:  source,
		version: describe("config_version", "Configuration version that this control instance has applied."),
		term:    describe("log_term", "Term of the replicated log."),
		commit:  describe("log_commit_index", "Highest index of the log that is known to be committed."),
		applied: describe("log_applied_index", "Highest index of the log that is applied."),
		leads:   describe("log_leader", "1 while this control instance leads."),
		contact: describe("log_contact_age_seconds", "Time since a leader or a quorum was heard."),
		moves:   describe("moves_active", "Moves that have not ended."),
		members: describe("members", "Members that hold a lease.", "kind"),
	}
}

// Describe lists the metrics.
func (c *control) Describe(out chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, out)
}

// Collect reads the metrics.
func (c *control) Collect(out chan<- prometheus.Metric) {
	status, view := c.source.Log(), c.source.View()
	nodes, servers := c.source.Members()
	out <- gauge(c.version, float64(view.Version))
	out <- gauge(c.term, float64(status.Term))
	out <- gauge(c.commit, float64(status.Commit))
	out <- gauge(c.applied, float64(status.Applied))
	out <- gauge(c.leads, boolValue(status.IsLeader))
	out <- gauge(c.contact, status.LastContact.Seconds())
	out <- gauge(c.moves, float64(countActive(view)))
	out <- gauge(c.members, float64(nodes), "node")
	out <- gauge(c.members, float64(servers), "backend-server")
}

func countActive(view *state.View) int {
	active := 0
	for _, move := range view.Moves() {
		if state.Active(move) {
			active++
		}
	}
	return active
}
