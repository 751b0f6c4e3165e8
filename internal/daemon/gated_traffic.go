package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/gate"
	"samphireflow/internal/hop"
	"samphireflow/internal/ingress"
	"samphireflow/internal/link"
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/proxy"
	"samphireflow/internal/quota"
	"samphireflow/internal/resources"
	"samphireflow/internal/settings"
	"samphireflow/internal/suspect"
)

const (
	// defaultShutdownTimeout is the time within which a stopping node must have ended if the settings do not set one.
	defaultShutdownTimeout = 30 * time.Second
	// acceptFraction is the fraction of the shutdown timeout for which a stopping node still accepts new connections.
	// In this time, callers and other nodes learn that the node is no longer ready.
	acceptFraction = 0.5
	// completeFraction is the fraction of the shutdown timeout by which calls in flight must have completed.
	completeFraction = 0.92
	// moveTime is the time in which the callers of a stopping node go to other nodes: readiness is checked once a second, and
	// the second failed check counts. Until then the node takes all calls, afterwards those that end before it does.
	moveTime = 3 * time.Second
)

// gatedTraffic handles the calls of a node that has a gate: its ingress receives the calls of callers, its gate those for
// the backend server on this machine.
type gatedTraffic struct {
	gate     *gate.Gate
	ingress  *ingress.Ingress
	suspects *suspect.Tracker
	service  *proxy.PeerService
	quotas   *quota.Keeper
	stop     *calls.StopAdmission
}

func newGatedTraffic(s *settings.Settings, headers calls.Headers, n *node.Node, registry prometheus.Registerer, logger zerolog.Logger) *gatedTraffic {
	logger = logger.With().Str("role", "node").Logger()
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netfault.Dialer(peerDialTimeout),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peerIdleTimeout,
	}}
	stop := &calls.StopAdmission{}
	innerCalls := newInnerCalls(headers.IDSeparator, registry, logger)
	g := &gatedTraffic{
		stop: stop,
		gate: gate.New(gate.Options{
			LocalServer: n.LocalServer, ColdUntil: n.ColdUntil, Terms: func(server *apiv1.BackendServer) gate.Terms { return gateTerms(n.Table(), server) },
			ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack,
			Headers: headers, CustomerWeight: customerWeight(n), Recorder: n.Recorder(), Stop: stop, Admission: innerCalls, Link: link.New(s.LinkMbps, time.Now), Logger: logger, Now: time.Now,
		}),
		suspects: newSuspectTracker(s, n, client, logger),
	}
	g.quotas = newQuotaKeeper(s, n, registry, logger)
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "samphireflow_gate_paced_refusals_total",
		Help: "Calls that the gate refused because the backend server is cold.",
	}, func() float64 { return float64(g.gate.PacedRefusals()) }))
	g.gate.RegisterMetrics(registry)
	g.service = proxy.NewPeerService(n, g.suspects)
	g.ingress = ingress.New(ingress.Options{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		Service:       s.Service,
		Table:         n.Table,
		Outdated:      n.Outdated,
		Gate:          g.gate,
		Retries:       ingress.RetryLimits{Ratio: s.RetryRatio, Slack: s.RetrySlack},
		Headers:       headers,
		Suspects:      g.suspects,
		Admission:     innerCalls,
		Quotas:        g.quotas,
		Stop:          stop,
		Metrics:       ingress.NewMetrics(registry),
		Logger:        logger,
		Now:           time.Now,
		Random:        rand.Float64,
	})
	return g
}

// customerWeight returns the function that weighs customers by their configured rates.
func customerWeight(n *node.Node) func(name string) float64 {
	return func(name string) float64 {
		table := n.Table()
		if table == nil {
			return 0
		}
		customer := table.Customers.ByName(name)
		if customer == nil {
			return 0
		}
		return customer.Rate
	}
}

// register mounts the twirp services that other nodes and the platform call.
func (g *gatedTraffic) register(mux *http.ServeMux) {
	service := apiv1.NewTrafficServer(g.service)
	mux.Handle(service.PathPrefix(), service)
	quotas := apiv1.NewQuotasServer(quota.NewService(g.quotas))
	mux.Handle(quotas.PathPrefix(), quotas)
}

// serveGatedTraffic serves callers and other nodes until ctx ends, then stops without interrupting calls. At once the node
// reports that it is not ready and starts closing each connection after its next response. For some time it still accepts
// new connections, from peers that do not know yet that it stops. Then it waits for the calls in flight.
func (d *Daemon) serveGatedTraffic(ctx, running context.Context) error {
	callerServer := d.newCallerServer()
	callerListener, err := newListeningServer("caller", d.settings.CallerAddr, callerServer)
	if err != nil {
		return err
	}
	callerListener.kept = d.connections.Listener(callerListener.listener, resources.Callers)
	gateServer := &http.Server{
		Handler: hop.Handler(d.gatedTraffic.gate, d.logger), ConnContext: hop.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
	}
	gateListener, err := newListeningServer("gate", d.settings.GateAddr, gateServer)
	if err != nil {
		return err
	}
	gateListener.kept = d.connections.Serve(gateServer, gateListener.listener, resources.Gate)
	serving, cancel := context.WithCancel(context.WithoutCancel(running))
	defer cancel()
	group, groupCtx := errgroup.WithContext(serving)
	group.Go(callerListener.serve)
	group.Go(gateListener.serve)
	group.Go(func() error { return d.gatedTraffic.suspects.Run(groupCtx) })
	group.Go(func() error { return d.gatedTraffic.quotas.Run(groupCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		case <-groupCtx.Done():
		}
		callerServer.CloseAfterResponses()
		d.stopGatedTraffic(groupCtx, callerListener, gateListener)
		cancel()
		return nil
	})
	return group.Wait()
}

// stopGatedTraffic drains the node and stops both listeners within the shutdown timeout.
func (d *Daemon) stopGatedTraffic(groupCtx context.Context, callerListener, gateListener *listeningServer) {
	shutdownTimeout := d.settings.ShutdownTimeout
	if shutdownTimeout <= 0 {
		shutdownTimeout = defaultShutdownTimeout
	}
	began := time.Now()
	d.logger.Info().Dur("stop_time_ms", shutdownTimeout).Msg("stopping: not ready any more")
	d.draining.Store(true)
	acceptTime := time.Duration(acceptFraction * float64(shutdownTimeout))
	completeBy := began.Add(time.Duration(completeFraction * float64(shutdownTimeout)))
	d.gatedTraffic.stop.Begin(began.Add(min(moveTime, acceptTime)), completeBy)
	d.node.DrainForShutdown()
	timer := time.NewTimer(acceptTime)
	defer timer.Stop()
	select {
	case <-groupCtx.Done():
	case <-timer.C:
	}
	ending, cancel := context.WithDeadline(context.WithoutCancel(groupCtx), completeBy)
	defer cancel()
	for _, s := range []*listeningServer{callerListener, gateListener} {
		if err := s.stop(ending); err != nil {
			d.logger.Warn().Err(err).Str("listener", s.name).Msg("calls were still in flight at the end of the shutdown timeout")
		}
	}
}
