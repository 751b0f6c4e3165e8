package control

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
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
	// Client reaches the other processes; nil for one of the server's own.
	Client *http.Client
	// Direct lets the nodes follow the control instances themselves: no relays and no claim holders are assigned.
	Direct bool
	Logger zerolog.Logger
}

// Server runs the control role of one process.
type Server struct {
	options  Options
	members  *member.Hub
	exchange *distribution.MemberExchange
	reaper   *distribution.Reaper
	builder  *builder
	barrier  *barrier
	watches  *distribution.WatchServer
	outcomes *outcome.Sum
	reports  *distribution.ReportFilter
	client   *http.Client
	// peerClient reaches the other control instances and the nodes for members.
	peerClient *http.Client
	started    time.Time
	now        func() time.Time
}

const (
	// forwardTimeout bounds a request that is passed on to the leader.
	forwardTimeout = 5 * time.Second
)

// New returns a server that has not started.
func New(options Options) *Server {
	started := time.Now()
	client, peerClient := options.Client, options.Client
	if client == nil {
		client, peerClient = newHTTPClient(), distribution.NewHTTPClient()
	}
	members := member.NewHub(options.Instance, uint64(started.UnixNano()))
	s := &Server{
		options:    options,
		members:    members,
		builder:    newBuilder(),
		barrier:    newBarrier(options.Log.ReadIndex),
		outcomes:   outcome.NewSum(""),
		reports:    distribution.NewReportFilter(),
		client:     client,
		peerClient: peerClient,
		started:    started,
		// Steps of the clock after the start do not count.
		now: func() time.Time { return started.Add(time.Since(started)) },
	}
	s.watches = distribution.NewWatchServer(source{s}, members)
	s.reaper = distribution.NewReaper(members, peerClient, s.helpers)
	s.exchange = distribution.NewMemberExchange(options.Instance, members, peerClient, s.otherControls, options.Logger)
	return s
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:   forwardTimeout,
		Transport: tracing.Transport(&http.Transport{DialContext: netfault.Dialer(forwardTimeout)}),
	}
}

// helpers are the other control instances.
func (s *Server) helpers() []*distribution.Client {
	return distribution.DialAll(s.otherControls(), s.peerClient)
}

// otherControls lists the control addresses of the other control instances.
func (s *Server) otherControls() []string {
	var addrs []string
	for _, other := range s.options.Log.Status().Members {
		if other.ID != s.options.Instance {
			addrs = append(addrs, other.ControlAddr)
		}
	}
	return addrs
}

// Register mounts the twirp services of the control role.
func (s *Server) Register(mux *http.ServeMux) {
	mount(mux, apiv1.NewConfigServer(s))
	mount(mux, apiv1.NewMovesServer(movesService{s}))
	mount(mux, apiv1.NewDistributionServer(distributionService{s.watches, s}))
	mount(mux, apiv1.NewRelayServer(relayService{s}))
	mount(mux, apiv1.NewMembershipServer(membershipService{s}))
	mount(mux, apiv1.NewStatusServer(s))
}

func mount(mux *http.ServeMux, server apiv1.TwirpServer) {
	mux.Handle(server.PathPrefix(), rememberForwarded(server))
}

// Run does the periodic work of the role until the context ends.
func (s *Server) Run(ctx context.Context) error {
	defer s.watches.Stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.reaper.Run(ctx) })
	group.Go(func() error { return s.exchange.Run(ctx) })
	group.Go(func() error { return distribution.FlushLoop(ctx, s.members) })
	group.Go(func() error { return s.moveLoop(ctx) })
	group.Go(func() error { return s.adoptLoop(ctx) })
	if !s.options.Direct {
		group.Go(func() error { return s.assignLoop(ctx) })
	}
	return group.Wait()
}
