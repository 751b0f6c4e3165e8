package backendserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tracing"
)

// role is the role of the process in traces.
const role = "backend-server"

// ExitCrashed is the exit code after a crash that a fault or the crash marker caused.
const ExitCrashed = 70

// Server is a running backend server.
type Server struct {
	cfg       Config
	log       zerolog.Logger
	slots     *slots
	journal   *journal
	announcer *announcer
	started   time.Time
	draining  atomic.Bool
	gone      atomic.Bool
	faults    atomic.Pointer[activeFaults]
	exit      func(code int)

	randMu sync.Mutex
	rand   *rand.Rand

	samplesMu sync.Mutex
	// samples holds past reports, the oldest first, from which HealthFault.Lag is served.
	samples []sample

	calls *http.Server
	admin *http.Server
}

// New creates a backend server; Run starts it.
func New(cfg Config, log zerolog.Logger) (*Server, error) {
	journal, err := openJournal(cfg.Executions)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		log:     log,
		slots:   newSlots(cfg.Slots, cfg.QueueLength),
		journal: journal,
		started: time.Now(),
		exit:    os.Exit,
	}
	s.rand = newRand(cfg.Seed, s.started)
	s.faults.Store(&activeFaults{since: s.started})
	s.announcer = newAnnouncer(cfg.NodeControlAddr, s.describe, log)
	s.calls = &http.Server{Handler: s.callRoutes()}
	s.admin = &http.Server{Handler: s.adminRoutes()}
	return s, nil
}

func newRand(seed uint64, now time.Time) *rand.Rand {
	if seed == 0 {
		seed = uint64(now.UnixNano())
	}
	return rand.New(rand.NewPCG(seed, seed))
}

func (s *Server) callRoutes() http.Handler {
	router := echo.New()
	router.Any("/*", s.serveCall)
	return tracing.Handler(role, router)
}

// Run listens on the configured addresses and serves until the context ends, then drains. It returns once the calls in
// flight have finished or DrainTimeout has passed.
func (s *Server) Run(ctx context.Context) error {
	callListener, err := net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for calls")
	}
	adminListener, err := net.Listen("tcp", s.cfg.AdminAddr)
	if err != nil {
		callListener.Close()
		return errors.Wrap(err, "listen for admin")
	}
	return s.serveOn(ctx, callListener, adminListener)
}

// serveOn is Run on open listeners, which it closes.
func (s *Server) serveOn(ctx context.Context, callListener, adminListener net.Listener) error {
	var err error
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.sampleLoop(background) })
	if s.cfg.NodeControlAddr != "" {
		tasks.Go(func() { s.announcer.run(background) })
	}
	serveErrors := make(chan error, 2)
	go serve(s.calls, newLimitListener(callListener, s.cfg.Connections, s.cfg.ConnectionCost), serveErrors)
	go serve(s.admin, adminListener, serveErrors)
	s.log.Info().Str("addr", s.cfg.Addr).Str("version", s.cfg.Version).Msg("backend server started")
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
		err = s.shutDown()
	}
	stop()
	tasks.Wait()
	s.announceGone()
	s.admin.Close()
	if closeErr := s.journal.close(); err == nil {
		err = closeErr
	}
	return err
}

func serve(server *http.Server, listener net.Listener, errs chan<- error) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		errs <- errors.Wrap(err, "serve")
	}
}

// Drain announces that the backend server drains. It still serves the calls that reach it.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.calls.SetKeepAlivesEnabled(false)
	s.announcer.notify()
}

// shutDown drains, keeps serving for the nodes that do not know of the drain yet, and waits for the calls in flight.
func (s *Server) shutDown() error {
	s.log.Info().Int("in_flight", s.slots.inFlight()).Msg("backend server draining")
	s.Drain()
	s.announceNow()
	time.Sleep(s.cfg.DrainLinger)
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DrainTimeout)
	defer cancel()
	if err := s.calls.Shutdown(ctx); err != nil {
		return errors.Wrapf(err, "%d calls in flight were aborted", s.slots.inFlight())
	}
	s.log.Info().Msg("backend server drained")
	return nil
}

// announceGone reports to the node that the backend server has stopped serving.
func (s *Server) announceGone() {
	s.gone.Store(true)
	s.announceNow()
}

// announceNow sends the current state to the node and waits for the response.
func (s *Server) announceNow() {
	if s.cfg.NodeControlAddr == "" {
		return
	}
	if err := s.announcer.announce(); err != nil {
		s.log.Warn().Err(err).Msg("announcement to the node failed")
	}
}

// describe returns the announcement of the backend server.
func (s *Server) describe() *apiv1.BackendServer {
	return &apiv1.BackendServer{
		Instance:        s.cfg.Instance,
		FailureDomain:   s.cfg.FailureDomain,
		Service:         s.cfg.Service,
		Version:         s.cfg.Version,
		Addr:            s.cfg.Addr,
		Slots:           uint32(s.cfg.Slots),
		Connections:     uint32(s.cfg.Connections),
		Incarnation:     uint64(s.started.UnixNano()),
		State:           s.state(),
		StartedUnixMs:   s.started.UnixMilli(),
		NodeControlAddr: s.cfg.NodeControlAddr,
		InFlight:        uint32(s.report().InFlight),
	}
}

func (s *Server) state() apiv1.ServerState {
	if s.gone.Load() {
		return apiv1.ServerState_SERVER_STATE_GONE
	}
	if s.draining.Load() {
		return apiv1.ServerState_SERVER_STATE_DRAINING
	}
	return apiv1.ServerState_SERVER_STATE_READY
}
