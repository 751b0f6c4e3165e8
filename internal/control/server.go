package control

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
	"samphireflow/internal/netfault"
	"samphireflow/internal/outcome"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tracing"
)

// Log is the replicated log as this package uses it; *replica.Replica is one.
type Log interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	ReadIndex(ctx context.Context) error
	Status() replica.Status
}

// Options are what a control server is made of.
type Options struct {
	Instance string
	Log      Log
	Machine  *state.Machine
	Logger   zerolog.Logger
}

// Server runs the control role of one process.
type Server struct {
	options  Options
	members  *member.Hub
	builder  *builder
	outcomes *outcome.Sum
	reports  *reportFilter
	client   *http.Client
	now      func() time.Time
}

const (
	// expireInterval is the time between checks for leases that have run out.
	expireInterval = 500 * time.Millisecond
	// forwardTimeout bounds a request that is passed on to the leader.
	forwardTimeout = 5 * time.Second
)

// New returns a server that has not started.
func New(options Options) *Server {
	return &Server{
		options:  options,
		members:  member.NewHub(options.Instance),
		builder:  newBuilder(),
		outcomes: outcome.NewSum(""),
		reports:  newReportFilter(),
		client: &http.Client{
			Timeout:   forwardTimeout,
			Transport: tracing.Transport(&http.Transport{DialContext: netfault.Dialer(forwardTimeout)}),
		},
		now: time.Now,
	}
}

// Register mounts the twirp services of the control role.
func (s *Server) Register(mux *http.ServeMux) {
	mount(mux, apiv1.NewConfigServer(s))
	mount(mux, apiv1.NewMovesServer(movesService{s}))
	mount(mux, apiv1.NewDistributionServer(s))
	mount(mux, apiv1.NewMembershipServer(membershipService{s}))
	mount(mux, apiv1.NewStatusServer(s))
}

func mount(mux *http.ServeMux, server apiv1.TwirpServer) {
	mux.Handle(server.PathPrefix(), rememberForwarded(server))
}

// Run does the periodic work of the role until the context ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.expireLoop(ctx) })
	group.Go(func() error { return s.moveLoop(ctx) })
	group.Go(func() error { return s.assignLoop(ctx) })
	return group.Wait()
}

func (s *Server) expireLoop(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.members.Expire(now)
		}
	}
}
