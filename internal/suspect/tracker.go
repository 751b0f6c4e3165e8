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
	// broadcastTimeout bounds the broadcast of a suspect request to the other nodes. The caller of the request waits for the
	// broadcast, so that it cannot retry at a node that does not know yet that the request is suspect.
	broadcastTimeout = 300 * time.Millisecond
	// broadcastConcurrency is the number of nodes that a report is sent to at the same time.
	broadcastConcurrency = 32
	// massCrashWindow and massCrashSize define a mass crash: that many backend servers crash within the window. No single
	// request causes that, so while a mass crash lasts, crashes are not reported to the other nodes.
	massCrashWindow = time.Second
	massCrashSize   = 3
	// probeTimeout bounds the probe whether a backend server is alive.
	probeTimeout = 200 * time.Millisecond
	// sweepInterval is the time between two deletions of expired requests.
	sweepInterval = time.Minute
)

// Options configures a tracker.
type Options struct {
	// Peers returns the control addresses of the other nodes.
	Peers  func() []string
	Client *http.Client
	Logger zerolog.Logger
	Now    func() time.Time
}

// Tracker tracks the suspect requests that this node knows, and exchanges them with the other nodes.
type Tracker struct {
	options Options
	store   *Store

	mu            sync.Mutex
	recentCrashes []crash
}

// crash is a crash of a backend server that this node has detected.
type crash struct {
	process ServerProcess
	at      time.Time
}

// NewTracker returns a tracker that suspects no request.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, store: NewStore()}
}

// Run learns from other nodes which requests are suspect, then deletes expired requests until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.learn(ctx)
	return periodic.Run(ctx, sweepInterval, func(_ time.Time) {
		t.store.DeleteExpired(t.options.Now())
	})
}

// Active reports whether any request is suspect.
func (t *Tracker) Active() bool {
	return !t.store.Empty()
}

// Blocked reports whether a request must be refused.
func (t *Tracker) Blocked(service string, fingerprint Fingerprint) bool {
	return t.store.Blocked(service, fingerprint, t.options.Now())
}

// ReportCompleted records that a request completed. If the request was suspect, the other nodes are notified
// asynchronously.
func (t *Tracker) ReportCompleted(service string, fingerprint Fingerprint) {
	if !t.store.RecordCompletion(service, fingerprint, t.options.Now()) {
		return
	}
	go t.broadcast(context.Background(), &apiv1.SuspectRequest{Service: service, Fingerprint: uint64(fingerprint), Cleared: true})
}

// ReportBroken records that an attempt ended without a whole response. If the backend server crashed, the request becomes
// suspect. The other nodes are notified before ReportBroken returns, unless the crash is known already or belongs to a mass
// crash.
func (t *Tracker) ReportBroken(ctx context.Context, service string, fingerprint Fingerprint, server *balance.Server) {
	if !t.crashed(ctx, server.Info) {
		return
	}
	process := ServerProcess{server.Info.Instance, server.Info.Incarnation}
	now := t.options.Now()
	isNew := t.store.RecordCrash(service, fingerprint, process, now)
	if isNew && !t.partOfMassCrash(process, now) {
		t.options.Logger.Warn().Str("service", service).Uint64("fingerprint", uint64(fingerprint)).Str("backend_server", process.Instance).Msg("a backend server died with the request in flight")
		t.broadcast(ctx, &apiv1.SuspectRequest{
			Service:     service,
			Fingerprint: uint64(fingerprint),
			Instance:    process.Instance,
			Incarnation: process.Incarnation,
		})
	}
}

// HandlePeerReport records a crash or a completion that another node reported.
func (t *Tracker) HandlePeerReport(request *apiv1.SuspectRequest) {
	now := t.options.Now()
	fingerprint := Fingerprint(request.Fingerprint)
	if request.Cleared {
		t.store.RecordCompletion(request.Service, fingerprint, now)
		return
	}
	t.store.RecordCrash(request.Service, fingerprint, ServerProcess{request.Instance, request.Incarnation}, now)
}

// crashed asks the node on the instance of a backend server whether the process is gone. If that node does not respond, the
// instance may be partitioned, and the crash counts as not confirmed.
func (t *Tracker) crashed(ctx context.Context, info *apiv1.BackendServer) bool {
	if info.NodeControlAddr == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	client := apiv1.NewTrafficProtobufClient("http://"+info.NodeControlAddr, t.options.Client)
	response, err := client.Probe(ctx, &apiv1.ProbeServerRequest{Instance: info.Instance, Incarnation: info.Incarnation})
	return err == nil && !response.Alive
}

// partOfMassCrash records a crash and reports whether it belongs to a mass crash.
func (t *Tracker) partOfMassCrash(process ServerProcess, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []crash
	known := false
	for _, c := range t.recentCrashes {
		if now.Sub(c.at) < massCrashWindow {
			recent = append(recent, c)
			known = known || c.process == process
		}
	}
	if !known {
		recent = append(recent, crash{process: process, at: now})
	}
	t.recentCrashes = recent
	return len(recent) >= massCrashSize
}

// broadcast sends a report to the other nodes and waits for their responses up to broadcastTimeout.
func (t *Tracker) broadcast(ctx context.Context, request *apiv1.SuspectRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), broadcastTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(broadcastConcurrency)
	for _, addr := range t.options.Peers() {
		group.Go(func() error {
			client := apiv1.NewTrafficProtobufClient("http://"+addr, t.options.Client)
			if _, err := client.Suspect(ctx, request); err != nil {
				t.options.Logger.Debug().Err(err).Str("peer", addr).Msg("reporting a suspect request to another node failed")
			}
			return nil
		})
	}
	_ = group.Wait()
}
