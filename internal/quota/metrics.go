package quota

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of a keeper. A nil Metrics records nothing.
type Metrics struct {
	decisions *prometheus.CounterVec
	messages  *prometheus.CounterVec
	tokens    *prometheus.CounterVec
}

// NewMetrics registers the metrics of a keeper.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_quota_decisions_total",
			Help: "Calls of customers with a quota: allowed, over the quota, or refused because no owner could be asked.",
		}, []string{"decision"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_quota_messages_total",
			Help: "Messages to other nodes: for tokens (ask, of them elsewhere in other failure domains), for loans alone, for transfers, and those without an answer.",
		}, []string{"kind"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphireflow_quota_tokens_total",
			Help: "Tokens that this node granted as an owner, got from other failure domains, or got back from calls that were refused.",
		}, []string{"kind"}),
	}
	registry.MustRegister(m.decisions, m.messages, m.tokens)
	return m
}

func (m *Metrics) decided(d Decision) {
	if m == nil {
		return
	}
	switch {
	case d.Allowed:
		m.decisions.WithLabelValues("allowed").Inc()
	case d.Known:
		m.decisions.WithLabelValues("over").Inc()
	default:
		m.decisions.WithLabelValues("unknown").Inc()
	}
}

func (m *Metrics) message(kind string) {
	if m != nil {
		m.messages.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) asked(wants bool) {
	if wants {
		m.message("ask")
		return
	}
	m.message("loan")
}

func (m *Metrics) askedElsewhere() { m.message("elsewhere") }
func (m *Metrics) failed()         { m.message("unanswered") }
func (m *Metrics) transferAsked()  { m.message("transfer") }

func (m *Metrics) addTokens(kind string, tokens float64) {
	if m != nil && tokens > 0 {
		m.tokens.WithLabelValues(kind).Add(tokens)
	}
}

func (m *Metrics) granted(g Grant)            { m.addTokens("granted", float64(g.Tokens)) }
func (m *Metrics) transferred(tokens float64) { m.addTokens("transferred", tokens) }
func (m *Metrics) returned()                  { m.addTokens("returned", 1) }
