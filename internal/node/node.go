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
	// started is the time at which this process started.
	started time.Time
	// relay is active while this node is one of the assigned relays; ownRelay calls it without a connection.
	relay    *distribution.Relay
	ownRelay *distribution.Client
	selector *selector
	drains   *distribution.DrainStore
	outcomes *outcome.Aggregator
	// reporter is owned by the report goroutine.
	reporter *distribution.Reporter
	// reportSeq numbers the reports that go directly to the control instances. It is owned by the report goroutine.
	reportSeq uint64

	// table is the routing table of the proxy; it is replaced, never modified.
	table atomic.Pointer[routing.Table]
	// knowsMembers is set once the first list of backend servers has arrived.
	knowsMembers atomic.Bool
	// status is the state of the applied configuration for operators.
	status atomic.Pointer[Status]

	// mu guards the fields down to stopping. announced is the backend server beside this node, and revision the newest revision
	// of the records of this node and of that backend server.
	mu            sync.Mutex
	announced     *announcement
	lastHeartbeat heartbeat
	// withdrawn holds the backend servers that have announced by their name alone that they stop.
	withdrawn departures
	revision  uint64
	// answered is the start of the backend server in the newest renewal that another process has answered.
	answered serverStart
	// storedDrains is what was stored for the last acknowledgement.
	storedDrains []drainKey
	applied      announceSchedule
	drain        drainOrder
	// coldUntil is the end of the coldness of the announced backend server, and advertisedCold the end that the advertised
	// record tells.
	coldUntil, advertisedCold time.Time
	// stopping is set once this node is about to stop.
	stopping bool
	// renewNow wakes the renewal loop before its interval has passed.
	renewNow chan struct{}

	// lastRenewal is owned by the renewal goroutine.
	lastRenewal renewal

	// The remaining fields are owned by the watch goroutine.
	applier   applier
	directory *member.Directory
	registry  *routing.Registry
	// membersBudget limits the bytes of membership updates, and nextMembersAt is the time from which the next update is
	// requested.
	membersBudget *rate.Limiter
	nextMembersAt time.Time
}

// Status is the state of the applied configuration for operators.
type Status struct {
	Snapshot       *apiv1.Snapshot
	RefusedVersion uint64
	Refusal        string
	// LastWatchResponse is the time of the last response to a watch.
	LastWatchResponse time.Time
	// ConfirmedAt is the latest time at which the snapshot is known to have been the newest version that a quorum of the control
	// group had accepted; zero before the first confirmation.
	ConfirmedAt time.Time
}

// outdatedWaits is the number of watches without an answer, each of at most Timing.WatchWait, after which versions may have
// been accepted that the node has not heard of.
const outdatedWaits = 2

// Outdated reports whether versions may be in force elsewhere of which this node has not heard. It then cannot tell that
// something is not in the configuration.
func (n *Node) Outdated() bool {
	return time.Since(n.Status().ConfirmedAt) > outdatedWaits*n.options.Timing.WatchWait
}

// New returns a node that has not started.
func New(options Options) *Node {
	options.Timing = options.Timing.withDefaults()
	if options.Client == nil {
		options.Client = distribution.NewHTTPClient()
	}
	started := time.Now()
	n := &Node{
		options:     options,
		incarnation: uint64(started.UnixNano()),
		started:     started,
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
		OnRefusal:     n.renewWithNewRevision,
		Logger:        options.Logger,
	})
	n.ownRelay = &distribution.Client{Addr: options.ControlAddr, Distribution: n.relay, Membership: n.relay, Relay: n.relay}
	n.selector = newSelector(options, n.ownRelay, n.dial)
	n.drains = &distribution.DrainStore{
		Instance: options.Instance, FailureDomain: options.FailureDomain, Tolerance: options.Tolerance, Holders: n.selector.holders,
		Client: options.Client, Logger: options.Logger,
	}
	n.reporter = distribution.NewReporter(n.outcomes, &apiv1.ReportRequest{
		Instance:      options.Instance,
		FailureDomain: options.FailureDomain,
		ProcessId:     n.incarnation,
	})
	if options.Direct {
		n.applied.interval = appliedInterval
	}
	n.bumpRevision()
	n.status.Store(&Status{})
	return n
}

func (n *Node) dial(addr string) *distribution.Client {
	if addr == n.options.ControlAddr {
		return n.ownRelay
	}
	return distribution.Dial(addr, n.options.Client)
}

// Register mounts the twirp services that other processes of the system call on a node, except Inspect.
func (n *Node) Register(mux *http.ServeMux) {
	for _, server := range []apiv1.TwirpServer{
		apiv1.NewDistributionServer(n.relay),
		apiv1.NewMembershipServer(membershipService{n.relay, n}),
		apiv1.NewRelayServer(n.relay),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
}

// Table returns the current routing table, nil before the first one.
func (n *Node) Table() *routing.Table {
	return n.table.Load()
}

// Status returns the state of the applied configuration.
func (n *Node) Status() *Status {
	return n.status.Load()
}

// Incarnation identifies this start of the process.
func (n *Node) Incarnation() uint64 {
	return n.incarnation
}

// Recorder returns the aggregator in which the proxy counts the outcomes of calls.
func (n *Node) Recorder() *outcome.Aggregator {
	return n.outcomes
}

// RelayStatus returns the state of the relay in this process.
func (n *Node) RelayStatus() distribution.RelayStatus {
	return n.relay.Status()
}

// Ready reports whether the node has a routing table and has received the list of backend servers.
func (n *Node) Ready() bool {
	return n.table.Load() != nil && n.knowsMembers.Load()
}

// Run watches the configuration, renews the leases and reports outcomes until the context ends, then ends the leases.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if !n.options.Direct {
		group.Go(func() error { return n.relay.Run(ctx) })
	}
	group.Go(func() error { return n.watchLoop(ctx) })
	group.Go(func() error { return n.failbackLoop(ctx) })
	group.Go(func() error { return n.renewLoop(ctx) })
	group.Go(func() error { return n.reportLoop(ctx) })
	return group.Wait()
}

// sleepWithJitter waits between half and one and a half times the mean, or until the context ends.
func sleepWithJitter(ctx context.Context, mean time.Duration) {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
