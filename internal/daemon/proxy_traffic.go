package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/claim"
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/proxy"
	"samphireflow/internal/settings"
	"samphireflow/internal/suspect"
	"samphireflow/internal/tracing"
)

const (
	// peerDialTimeout bounds the time to open a connection to another node.
	peerDialTimeout = 500 * time.Millisecond
	// maxIdlePeerConnections is the number of idle connections that are kept open to each other node.
	maxIdlePeerConnections = 8
	// peerIdleTimeout is the time after which an unused connection to another node is closed.
	peerIdleTimeout = 30 * time.Second
)

// proxyTraffic handles the calls of a node without a gate address: its proxy forwards them to backend servers.
type proxyTraffic struct {
	configuration *configurationCache

	proxy    *proxy.Proxy
	gate     *proxy.Gate
	holder   *claim.Holder
	suspects *suspect.Tracker
	service  *proxy.PeerService
}

// newSuspectTracker returns the tracker of requests that crash backend servers; it reports them to the other nodes through
// client.
func newSuspectTracker(s *settings.Settings, n *node.Node, client *http.Client, logger zerolog.Logger) *suspect.Tracker {
	return suspect.NewTracker(suspect.Options{
		Peers:  func() []string { return peerAddrs(n, s.ControlAddr) },
		Client: client,
		Logger: logger,
		Now:    time.Now,
	})
}

func newProxyTraffic(s *settings.Settings, n *node.Node, logger zerolog.Logger) *proxyTraffic {
	logger = logger.With().Str("role", "node").Logger()
	started := time.Now()
	client := &http.Client{Transport: tracing.Transport(&http.Transport{
		DialContext:         netfault.Dialer(peerDialTimeout),
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
	})}
	configuration := newConfigurationCache(n)
	suspects := newSuspectTracker(s, n, client, logger)
	return &proxyTraffic{
		configuration: configuration,

		suspects: suspects,
		service:  proxy.NewPeerService(n, suspects),
		gate:     proxy.NewGate(proxy.GateOptions{Instance: s.Instance, Local: func() *apiv1.BackendServer { return announcedUnlessEvacuated(n) }, Started: started, Now: time.Now}),
		holder: claim.NewHolder(claim.HolderOptions{
			Instance:      s.Instance,
			FailureDomain: s.FailureDomain,
			Incarnation:   n.Incarnation(),
			Configuration: configuration.current,
			Peer:          claim.HTTPPeer(client),
			Logger:        logger,
			Now:           time.Now,
		}),
		proxy: proxy.New(proxy.Options{
			Instance: s.Instance,
			Table:    n.Table,
			Recorder: n.Recorder(),
			Claims: claim.NewClient(claim.Options{
				Instance:      s.Instance,
				Incarnation:   n.Incarnation(),
				Configuration: configuration.current,
				Peer:          claim.HTTPPeer(client),
				Logger:        logger,
				Now:           time.Now,
			}),
			Suspects: suspects,
			Logger:   logger,
		}),
	}
}

// ready reports whether calls with an idempotency key can be executed: the claim holders must be assigned.
func (t *proxyTraffic) ready() bool {
	return claim.HoldersAssigned(t.configuration.current().Assignments)
}

// register mounts the services that other nodes and the platform call.
func (t *proxyTraffic) register(mux *http.ServeMux) {
	mux.Handle(t.gate.Path(), t.gate)
	claims := apiv1.NewClaimsServer(t.holder)
	mux.Handle(claims.PathPrefix(), claims)
	service := apiv1.NewTrafficServer(t.service)
	mux.Handle(service.PathPrefix(), service)
}

// run does the periodic work until ctx ends.
func (t *proxyTraffic) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.holder.Run(ctx) })
	group.Go(func() error { return t.suspects.Run(ctx) })
	err := group.Wait()
	t.proxy.Close()
	return err
}

// peerAddrs returns the control addresses of the nodes of all backend servers, except this node's own.
func peerAddrs(n *node.Node, own string) []string {
	table := n.Table()
	if table == nil {
		return nil
	}
	var addrs []string
	for _, addr := range table.NodeAddrs() {
		if addr != own {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
