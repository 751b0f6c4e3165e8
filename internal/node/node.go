package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/member"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
)

// Node runs the node role of one process.
type Node struct {
	options     Options
	incarnation uint64
	// relay works while this node is one of the relays; own reaches it without a connection.
	relay    *distribution.Relay
	own      *distribution.Client
	selector *selector
	outcomes *outcome.Aggregator
	// outcomesUp belongs to the goroutine that reports.
	outcomesUp *distribution.Reporter
	// reportSeq belongs to the same goroutine, where reports go directly to the control instances.
	reportSeq uint64

	// table is what the proxy routes by; it is replaced whole.
	table atomic.Pointer[routing.Table]
	// knowsMembers is set with the first list of backend servers.
	knowsMembers atomic.Bool
	// status is what operators see of the applied configuration.
	status atomic.Pointer[Status]

	// announced is the backend server beside this node and revision the number of the last word about it and this
	// node; both are guarded by mu.
	mu        sync.Mutex
	announced *announcement
	last      heartbeat
	revision  uint64
	// drained is the platform's word that the backend server leaves, leaving this node's own stop; guarded by mu.
	drained bool
	leaving bool
	// renewNow asks the renewal loop not to wait.
	renewNow chan struct{}

	// renewed belongs to the goroutine that renews.
	renewed renewal

	// The rest belongs to the watch goroutine.
	applier   applier
	directory *member.Directory
	registry  *routing.Registry
	// membersBudget bounds the bytes of membership changes, membersAt is the time from which the next membership change is wanted.
	membersBudget *rate.Limiter
	membersAt     time.Time
}

// Status is the applied configuration as operators see it.
type Status struct {
	Snapshot       *apiv1.Snapshot
	RefusedVersion uint64
	Refusal        string
	// LastWatchAnswer is the time of the last answer to a watch.
	LastWatchAnswer time.Time
}

// New returns a node that has not started.
func New(options Options) *Node {
	options.Timing = options.Timing.withDefaults()
	if options.Client == nil {
		options.Client = distribution.NewHTTPClient()
	}
	n := &Node{
		options:     options,
		incarnation: uint64(time.Now().UnixNano()),
		outcomes:    outcome.NewAggregator(options.FailureDomain),
		renewNow:    make(chan struct{}, 1),
		applier:     applier{failureDomain: options.FailureDomain},
		directory:   member.NewDirectory(),
		registry:    routing.NewRegistry(),

		membersBudget: rate.NewLimiter(membersRate, membersBurst),
	}
	n.relay = distribution.NewRelay(distribution.RelayOptions{
		Instance:      options.Instance,
		FailureDomain: options.FailureDomain,
		ControlAddr:   options.ControlAddr,
		Incarnation:   n.incarnation,
		Control:       options.Control,
		Client:        options.Client,
		Logger:        options.Logger,
	})
	n.own = &distribution.Client{Addr: options.ControlAddr, Distribution: n.relay, Membership: n.relay, Relay: n.relay}
	n.selector = newSelector(options, n.own, n.dial)
	n.outcomesUp = distribution.NewReporter(n.outcomes, &apiv1.ReportRequest{
		Instance:      options.Instance,
		FailureDomain: options.FailureDomain,
		ProcessId:     n.incarnation,
	})
	n.revise()
	n.status.Store(&Status{})
	return n
}

func (n *Node) dial(addr string) *distribution.Client {
	if addr == n.options.ControlAddr {
		return n.own
	}
	return distribution.Dial(addr, n.options.Client)
}

// Register mounts the twirp services that other processes of the system reach a node by, apart from Inspect.
func (n *Node) Register(mux *http.ServeMux) {
	for _, server := range []apiv1.TwirpServer{
		apiv1.NewDistributionServer(n.relay),
		apiv1.NewMembershipServer(membershipService{n.relay, n}),
		apiv1.NewRelayServer(n.relay),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
}

// Table returns the routing table in force, nil before the first one.
func (n *Node) Table() *routing.Table {
	return n.table.Load()
}

// Status returns the applied configuration.
func (n *Node) Status() *Status {
	return n.status.Load()
}

// Incarnation tells starts of this process apart.
func (n *Node) Incarnation() uint64 {
	return n.incarnation
}

// Recorder returns where the proxy counts outcomes.
func (n *Node) Recorder() *outcome.Aggregator {
	return n.outcomes
}

// RelayStatus returns the state of the relay in this process.
func (n *Node) RelayStatus() distribution.RelayStatus {
	return n.relay.Status()
}

// Ready reports whether the node has a configuration to serve by and has heard of the backend servers.
func (n *Node) Ready() bool {
	return n.table.Load() != nil && n.knowsMembers.Load()
}

// Run follows the control group until the context ends, then tells it that the node leaves.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if !n.options.Direct {
		group.Go(func() error { return n.relay.Run(ctx) })
	}
	group.Go(func() error { return n.watchLoop(ctx) })
	group.Go(func() error { return n.homeLoop(ctx) })
	group.Go(func() error { return n.renewLoop(ctx) })
	group.Go(func() error { return n.reportLoop(ctx) })
	return group.Wait()
}

// pause waits for about the given time, less when the context ends.
func pause(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
