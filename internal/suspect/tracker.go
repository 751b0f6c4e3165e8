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
	"samphireflow/internal/recent"
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
	// completedCapacity is the number of completed requests that a node remembers at least: those of seconds at the busiest node.
	completedCapacity = 2048
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
	options   Options
	store     *Store
	completed *recent.Set[completedRun]

	mu            sync.Mutex
	recentCrashes []detectedCrash
}

// completedRun is a request that has completed at a version of its service.
type completedRun struct {
	key
	version string
}

// detectedCrash is a crash of a backend server that this node has detected.
type detectedCrash struct {
	process ServerProcess
	at      time.Time
}

// NewTracker returns a tracker that suspects no request.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, store: NewStore(), completed: recent.NewSet[completedRun](completedCapacity)}
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

// Blocked reports whether a request must be refused at a version of its service. A long body whose end has not been read blocks
// nothing; HoldLimit tells whether it must be read.
func (t *Tracker) Blocked(request *Request, version string) bool {
	if t.store.Empty() {
		return false
	}
	fingerprint, known := request.fingerprint()
	return known && t.store.Blocked(key{request.Service, fingerprint}, version, t.options.Now())
}

// HoldLimit returns how many bytes of the body must be read before it is known whether the request is blocked, 0 if none.
func (t *Tracker) HoldLimit(request *Request) int64 {
	if request.Long == nil {
		return 0
	}
	return t.store.HoldLimit(request.Service, request.longKey(), t.options.Now())
}

// ReportCompleted records that a request completed at a version of its service. If it was suspect, the other nodes are notified
// asynchronously.
func (t *Tracker) ReportCompleted(request *Request, version string) {
	fingerprint, known := request.fingerprint()
	if !known {
		return
	}
	k := key{request.Service, fingerprint}
	t.completed.Add(completedRun{k, version})
	if !t.store.RecordCompletion(k, version, t.options.Now()) {
		return
	}
	t.options.Logger.Info().Str("service", k.service).Uint64("fingerprint", uint64(fingerprint)).Str("caller", request.Identity.Caller).
		Str("version", version).Msg("a request that was in flight at a crash has completed")
	go t.broadcast(context.Background(), &apiv1.SuspectRequest{Service: k.service, Fingerprint: uint64(fingerprint), Version: version, Cleared: true})
}

// ReportBroken records that an attempt ended without a whole response. If the backend server crashed, the request becomes
// suspect. The other nodes are notified before ReportBroken returns, unless the crash is known already or belongs to a mass
// crash. The rest of a long body is read to identify the request, for skipTimeout at most.
func (t *Tracker) ReportBroken(ctx context.Context, request *Request, server *balance.Server, run Run) {
	if !t.crashed(ctx, server.Info) {
		return
	}
	fingerprint, known := request.wholeFingerprint(ctx)
	if !known {
		t.options.Logger.Warn().Str("service", request.Service).Str("caller", request.Identity.Caller).Str("backend_server", server.Info.Instance).
			Msg("a backend server died with a request in flight whose body ended early")
		return
	}
	report := crashReport{
		key: key{request.Service, fingerprint}, long: request.longKey(), version: server.Info.Version,
		process: ServerProcess{server.Info.Instance, server.Info.Incarnation}, run: run,
	}
	report.ranBefore = t.completed.Contains(completedRun{report.key, report.version})
	now := t.options.Now()
	generation, isNew := t.store.RecordCrash(report, now)
	if isNew && !t.partOfMassCrash(report.process, now) {
		t.options.Logger.Warn().Str("service", report.service).Uint64("fingerprint", uint64(fingerprint)).Str("caller", request.Identity.Caller).
			Str("backend_server", report.process.Instance).Str("version", report.version).Bool("ran_before", report.ranBefore).Uint32("generation", generation).
			Msg("a backend server died with the request in flight")
		report.generation = generation
		t.broadcast(ctx, report.message())
	}
}

// message returns the report as it is sent to other nodes.
func (r *crashReport) message() *apiv1.SuspectRequest {
	return &apiv1.SuspectRequest{
		Service: r.service, Fingerprint: uint64(r.fingerprint), Instance: r.process.Instance, Incarnation: r.process.Incarnation,
		Version: r.version, RanBefore: r.ranBefore, HeadFingerprint: uint64(r.long.head), BodyBytes: r.long.bytes,
		Generation: r.generation,
	}
}

// HandlePeerReport records a crash or a completion that another node reported.
func (t *Tracker) HandlePeerReport(request *apiv1.SuspectRequest) {
	now := t.options.Now()
	k := key{request.Service, Fingerprint(request.Fingerprint)}
	if request.Cleared {
		t.store.RecordCompletion(k, request.Version, now)
		return
	}
	t.store.RecordCrash(crashReport{
		key: k, long: longKey{Fingerprint(request.HeadFingerprint), request.BodyBytes}, version: request.Version,
		process: ServerProcess{request.Instance, request.Incarnation}, generation: request.Generation,
		ranBefore: request.RanBefore || t.completed.Contains(completedRun{k, request.Version}),
	}, now)
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
	var recent []detectedCrash
	known := false
	for _, c := range t.recentCrashes {
		if now.Sub(c.at) < massCrashWindow {
			recent = append(recent, c)
			known = known || c.process == process
		}
	}
	if !known {
		recent = append(recent, detectedCrash{process: process, at: now})
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
