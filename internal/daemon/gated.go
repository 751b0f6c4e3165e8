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
	"samphireflow/internal/netfault"
	"samphireflow/internal/node"
	"samphireflow/internal/proxy"
	"samphireflow/internal/settings"
	"samphireflow/internal/suspect"
)

const (
	// defaultStopTime is the time in which a stopping node must have ended where the settings do not say.
	defaultStopTime = 30 * time.Second
	// stayPart is the part of the stop time for which a stopping node still takes new connections: callers and other
	// nodes hear within it that the node is not ready any more.
	stayPart = 0.5
	// endPart is the part of the stop time by which calls must have ended.
	endPart = 0.92
)

// gated is the part of a node that carries calls from gate to gate.
type gated struct {
	gate    *gate.Gate
	ingress *ingress.Ingress
	watch   *suspect.Watch
	service *proxy.PeerService
}

func newGated(s *settings.Settings, headers calls.Headers, n *node.Node, registry prometheus.Registerer, logger zerolog.Logger) *gated {
	logger = logger.With().Str("role", "node").Logger()
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netfault.Dialer(peerDialTimeout),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peerIdleTimeout,
	}}
	g := &gated{
		gate:  gate.New(gate.Options{LocalServer: n.Beside, Headers: headers, Recorder: n.Recorder(), Logger: logger, Now: time.Now}),
		watch: newWatch(s, n, client, logger),
	}
	g.service = proxy.NewPeerService(n, g.watch)
	g.ingress = ingress.New(ingress.Options{
		Instance:      s.Instance,
		FailureDomain: s.FailureDomain,
		Service:       s.Service,
		Table:         n.Table,
		Gate:          g.gate,
		Headers:       headers,
		Suspects:      g.watch,
		Metrics:       ingress.NewMetrics(registry),
		Logger:        logger,
		Now:           time.Now,
		Random:        rand.Float64,
	})
	return g
}

// register mounts what other nodes ask for.
func (g *gated) register(mux *http.ServeMux) {
	service := apiv1.NewTrafficServer(g.service)
	mux.Handle(service.PathPrefix(), service)
}

// serveGated serves callers and other nodes until the context ends, and then stops without cutting a call: at once the
// node says that it is not ready and closes connections with their next answer, for some time it still takes new
// connections of those who have not heard, and then it lets the calls in flight end.
func (d *Daemon) serveGated(ctx, running context.Context) error {
	callerServer := d.newCallers()
	callers, err := listenFor("caller", d.settings.CallerAddr, callerServer)
	if err != nil {
		return err
	}
	gates, err := listenFor("gate", d.settings.GateAddr, &http.Server{
		Handler: hop.Handler(d.gated.gate, d.logger), ConnContext: hop.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	if err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(running))
	defer cancel()
	group, failed := errgroup.WithContext(serving)
	group.Go(callers.serve)
	group.Go(gates.serve)
	group.Go(func() error { return d.gated.watch.Run(failed) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		case <-failed.Done():
		}
		callerServer.CloseAfterResponses()
		d.stopGated(failed, callers, gates)
		cancel()
		return nil
	})
	return group.Wait()
}

// stopGated stops within the stop time.
func (d *Daemon) stopGated(failed context.Context, callers, gates *listening) {
	stopTime := d.settings.StopTime
	if stopTime <= 0 {
		stopTime = defaultStopTime
	}
	began := time.Now()
	d.logger.Info().Dur("stop_time_ms", stopTime).Msg("stopping: not ready any more")
	d.leaving.Store(true)
	d.node.Leave()
	timer := time.NewTimer(time.Duration(stayPart * float64(stopTime)))
	defer timer.Stop()
	select {
	case <-failed.Done():
	case <-timer.C:
	}
	ending, cancel := context.WithDeadline(context.WithoutCancel(failed), began.Add(time.Duration(endPart*float64(stopTime))))
	defer cancel()
	for _, s := range []*listening{callers, gates} {
		if err := s.stop(ending); err != nil {
			d.logger.Warn().Err(err).Str("listener", s.name).Msg("calls were still in flight at the end of the stop time")
		}
	}
}
