package suspect

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/periodic"
)

const (
	// spreadTime bounds the time in which the other nodes are told. The caller waits for it, so that it cannot send
	// the request again to a node that has not heard yet.
	spreadTime = 300 * time.Millisecond
	// spreadWidth is the number of nodes that are told at the same time.
	spreadWidth = 32
	// herdWindow and herdDeaths tell a herd of deaths, which no single request causes, from single ones.
	herdWindow = time.Second
	herdDeaths = 3
	// probeTime bounds the question whether a backend server is alive.
	probeTime = 200 * time.Millisecond
	// sweepInterval is the time between looks for what is too old.
	sweepInterval = time.Minute
)

// Options are what a watch is made of.
type Options struct {
	// Peers returns the control addresses of the other nodes.
	Peers  func() []string
	Client *http.Client
	Logger zerolog.Logger
	// Now is the clock.
	Now func() time.Time
}

// Watch keeps the book of one node and shares it with the others.
type Watch struct {
	options Options
	book    *Book

	mu     sync.Mutex
	deaths []death
}

// death is one backend server's death that this node has seen.
type death struct {
	start Start
	at    time.Time
}

// NewWatch returns a watch with an empty book.
func NewWatch(options Options) *Watch {
	return &Watch{options: options, book: NewBook()}
}

// Run forgets what is too old until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	return periodic.Run(ctx, sweepInterval, func(_ time.Time) {
		w.book.Sweep(w.options.Now())
	})
}

// Active reports whether any request is suspect.
func (w *Watch) Active() bool {
	return !w.book.Empty()
}

// Blocked reports whether a request must be refused.
func (w *Watch) Blocked(service string, fingerprint Fingerprint) bool {
	return w.book.Condemned(service, fingerprint, w.options.Now())
}

// Completed tells that a request was answered; the nodes hear of it if the request was suspect.
func (w *Watch) Completed(service string, fingerprint Fingerprint) {
	if !w.book.Completed(service, fingerprint, w.options.Now()) {
		return
	}
	go w.spread(context.Background(), &apiv1.SuspectRequest{Service: service, Fingerprint: uint64(fingerprint), Cleared: true})
}

// Broken tells that an attempt ended without an answer. If the backend server is dead, the request becomes suspect and
// the nodes hear of it before Broken returns.
func (w *Watch) Broken(ctx context.Context, service string, fingerprint Fingerprint, server *balance.Server) {
	if !w.dead(ctx, server.Info) {
		return
	}
	start := Start{server.Info.Instance, server.Info.Incarnation}
	now := w.options.Now()
	news := w.book.Died(service, fingerprint, start, now)
	if news && !w.herd(start, now) {
		w.options.Logger.Warn().Str("service", service).Uint64("fingerprint", uint64(fingerprint)).Str("backend_server", start.Instance).Msg("a backend server died with the request in flight")
		w.spread(ctx, &apiv1.SuspectRequest{
			Service:     service,
			Fingerprint: uint64(fingerprint),
			Instance:    start.Instance,
			Incarnation: start.Incarnation,
		})
	}
}

// Take records what another node has told.
func (w *Watch) Take(request *apiv1.SuspectRequest) {
	now := w.options.Now()
	fingerprint := Fingerprint(request.Fingerprint)
	if request.Cleared {
		w.book.Completed(request.Service, fingerprint, now)
		return
	}
	w.book.Died(request.Service, fingerprint, Start{request.Instance, request.Incarnation}, now)
}

// dead asks the node beside a backend server. When that node does not answer, the instance may be cut off, and the
// request is not blamed.
func (w *Watch) dead(ctx context.Context, info *apiv1.BackendServer) bool {
	if info.NodeControlAddr == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTime)
	defer cancel()
	client := apiv1.NewTrafficProtobufClient("http://"+info.NodeControlAddr, w.options.Client)
	response, err := client.Probe(ctx, &apiv1.ProbeServerRequest{Instance: info.Instance, Incarnation: info.Incarnation})
	return err == nil && !response.Alive
}

// herd notes a death and reports whether so many came together that no single request can be the cause.
func (w *Watch) herd(start Start, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var recent []death
	known := false
	for _, d := range w.deaths {
		if now.Sub(d.at) < herdWindow {
			recent = append(recent, d)
			known = known || d.start == start
		}
	}
	if !known {
		recent = append(recent, death{start: start, at: now})
	}
	w.deaths = recent
	return len(recent) >= herdDeaths
}

// spread tells the other nodes.
func (w *Watch) spread(ctx context.Context, request *apiv1.SuspectRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTime)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(spreadWidth)
	for _, addr := range w.options.Peers() {
		group.Go(func() error {
			client := apiv1.NewTrafficProtobufClient("http://"+addr, w.options.Client)
			if _, err := client.Suspect(ctx, request); err != nil {
				w.options.Logger.Debug().Err(err).Str("peer", addr).Msg("node not told of a suspect request")
			}
			return nil
		})
	}
	_ = group.Wait()
}
