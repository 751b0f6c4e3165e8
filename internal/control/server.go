package control

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/copies"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
	"samphireflow/internal/netfault"
	"samphireflow/internal/outcome"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/tracing"
)

// Log is the part of the replicated log that this package uses. *replica.Replica implements it.
type Log interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	ReadIndex(ctx context.Context) error
	Status() replica.Status
}

// Departures stores the records of backend servers that leave or that operators have ordered to drain. *departures.Store
// implements it.
type Departures interface {
	// Servers lists the stored records.
	Servers() []*apiv1.BackendServer
	// Save durably stores those of the given records that are not stored yet.
	Save(servers []*apiv1.BackendServer) error
}

// Options configures a Server.
type Options struct {
	Instance string
	// FailureDomain and Region are those of this instance.
	FailureDomain string
	Region        string
	Log           Log
	Machine       *state.Machine
	// Tolerance is what may be lost at the same time without the loss of what is acknowledged for nodes of earlier releases.
	Tolerance copies.Tolerance
	// Departures may be nil; what is known of departures then ends with the process.
	Departures Departures
	// FailureDomains lists the failure domains that exist whether or not an instance of them was seen.
	FailureDomains []string
	// Client sends requests to other processes. If it is nil, the server creates its own clients.
	Client *http.Client
	// Direct means that nodes follow the control instances without relays: no relays and no claim holders are assigned.
	Direct bool
	Logger zerolog.Logger
}

// Server runs the control role of one process.
type Server struct {
	options            Options
	members            *member.Hub
	memberExchange     *distribution.MemberExchange
	failureDetector    *distribution.FailureDetector
	snapshotBuilder    *snapshotBuilder
	readBatcher        *batcher
	departureSaver     *batcher
	drains             *distribution.DrainStore
	watchServer        *distribution.WatchServer
	outcomes           *outcome.Aggregator
	reportDeduplicator *distribution.ReportDeduplicator
	client             *http.Client
	// peerClient sends requests for the membership: to the other control instances, and probes to nodes.
	peerClient *http.Client
	started    time.Time
	// departuresFailing is set while departures cannot be stored.
	departuresFailing atomic.Bool
	domains           *knownDomains
	unpacked          unpackedDocument
	// routeEdits is held while an edit of the hosts of routes is checked and proposed.
	routeEdits *semaphore.Weighted
	now        func() time.Time
}

const (
	// forwardTimeout limits a request that is forwarded to the leader.
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
		options:            options,
		members:            members,
		readBatcher:        newBatcher(func() error { return readIndexInTime(options.Log) }),
		outcomes:           outcome.NewAggregator(""),
		reportDeduplicator: distribution.NewReportDeduplicator(),
		client:             client,
		peerClient:         peerClient,
		started:            started,
		domains:            newKnownDomains(),
		routeEdits:         semaphore.NewWeighted(1),
		// Only the monotonic clock counts after the start, so that steps of the wall clock have no effect.
		now: func() time.Time { return started.Add(time.Since(started)) },
	}
	for _, name := range options.FailureDomains {
		s.domains.add(name)
	}
	s.departureSaver = newBatcher(s.saveDepartures)
	s.drains = &distribution.DrainStore{
		Instance: options.Instance, FailureDomain: options.FailureDomain, Tolerance: options.Tolerance, Holders: s.drainHolders,
		Client: peerClient, Logger: options.Logger,
	}
	if options.Departures != nil {
		members.Remember(options.Departures.Servers(), started)
	}
	s.watchServer = distribution.NewWatchServer(watchSource{s}, members)
	s.snapshotBuilder = newSnapshotBuilder(s.watchServer.Stats().RecordBuild)
	s.failureDetector = distribution.NewFailureDetector(members, peerClient, s.otherControlClients)
	s.memberExchange = distribution.NewMemberExchange(options.Instance, members, peerClient, s.otherControlAddrs, options.Logger)
	return s
}

// newHTTPClient returns the client for requests to the leader.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout:   forwardTimeout,
		Transport: tracing.Transport(&http.Transport{DialContext: netfault.Dialer(forwardTimeout)}),
	}
}

// otherControlClients returns clients of the other control instances.
func (s *Server) otherControlClients() []*distribution.Client {
	return distribution.DialAll(s.otherControlAddrs(), s.peerClient)
}

// otherControlAddrs returns the control addresses of the other control instances.
func (s *Server) otherControlAddrs() []string {
	var addrs []string
	for _, other := range s.options.Log.Status().Members {
		if other.ID != s.options.Instance {
			addrs = append(addrs, other.ControlAddr)
		}
	}
	return addrs
}

// drainHolders lists the control instances as holders of copies, this one first.
func (s *Server) drainHolders() []copies.Holder {
	var holders []copies.Holder
	for _, instance := range s.options.Log.Status().Members {
		holder := copies.Holder{Addr: instance.ControlAddr, FailureDomain: instance.FailureDomain}
		if instance.ID == s.options.Instance {
			holders = slices.Insert(holders, 0, holder)
		} else {
			holders = append(holders, holder)
		}
	}
	return holders
}

// Register mounts the twirp services of the control role.
func (s *Server) Register(mux *http.ServeMux) {
	handle(mux, apiv1.NewConfigServer(s))
	handle(mux, apiv1.NewMovesServer(movesService{s}))
	handle(mux, apiv1.NewEvacuationsServer(evacuationsService{s}))
	handle(mux, apiv1.NewDistributionServer(distributionService{s.watchServer, s}))
	handle(mux, apiv1.NewRelayServer(relayService{s}))
	handle(mux, apiv1.NewMembershipServer(membershipService{s}))
	handle(mux, apiv1.NewStatusServer(s))
}

// handle mounts a twirp server.
func handle(mux *http.ServeMux, server apiv1.TwirpServer) {
	mux.Handle(server.PathPrefix(), markForwarded(server))
}

// Run runs the background loops of the role until the context ends.
func (s *Server) Run(ctx context.Context) error {
	defer s.watchServer.Stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.failureDetector.Run(ctx) })
	group.Go(func() error { return s.memberExchange.Run(ctx) })
	group.Go(func() error { return distribution.FlushLoop(ctx, s.members) })
	group.Go(func() error { return s.servingLoop(ctx) })
	group.Go(func() error { return s.moveLoop(ctx) })
	group.Go(func() error { return s.adoptLoop(ctx) })
	group.Go(func() error { return s.departureLoop(ctx) })
	if !s.options.Direct {
		group.Go(func() error { return s.assignLoop(ctx) })
	}
	return group.Wait()
}
