package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"samphireflow/internal/customer"
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/quota"
	"samphireflow/internal/routing"
	"samphireflow/internal/settings"
)

// quotaConnections is the number of idle connections to each owner of quotas. Questions about several customers of one owner
// are under way at the same time.
const quotaConnections = 2

// newQuotaKeeper returns the keeper that counts the calls of customers at a node with a gate.
func newQuotaKeeper(s *settings.Settings, n *node.Node, registry prometheus.Registerer, logger zerolog.Logger) *quota.Keeper {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netfault.Dialer(peerDialTimeout),
		MaxIdleConnsPerHost: quotaConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}}
	return quota.NewKeeper(quota.Options{
		Addr:          s.ControlAddr,
		FailureDomain: s.FailureDomain,
		Terms:         quota.Terms{Window: s.QuotaWindow, Overrun: s.QuotaOverrun, Slack: s.QuotaSlack},
		Epoch:         n.Incarnation(),
		Nodes: func() []routing.Node {
			if !n.Ready() {
				return nil
			}
			return n.Table().Nodes()
		},
		Customers: func() *customer.Directory {
			if table := n.Table(); table != nil {
				return table.Customers
			}
			return nil
		},
		Peer:    quota.HTTPPeer(client),
		Metrics: quota.NewMetrics(registry),
		Logger:  logger,
		Now:     time.Now,
	})
}
