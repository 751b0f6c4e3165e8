package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
	"samphireflow/internal/netfault"
	"samphireflow/internal/outcome"
	"samphireflow/internal/routing"
)

// Node runs the node role of one process.
type Node struct {
	options     Options
	incarnation uint64
	upstreams   []*upstream
	outcomes    *outcome.Sum

	// table is what the proxy routes by; it is replaced whole.
	table atomic.Pointer[routing.Table]
	// status is what operators see of the applied configuration.
	status atomic.Pointer[Status]

	// announced is the backend server beside this node, guarded by mu.
	mu        sync.Mutex
	announced *announcement
	// drained is the platform's word that the backend server leaves, leaving this node's own stop; guarded by mu.
	drained bool
	leaving bool
	// renewNow asks the renewal loop not to wait.
	renewNow chan struct{}

	// The rest belongs to the watch goroutine.
	applier   applier
	directory *member.Directory
	registry  *routing.Registry
}

// Status is the applied configuration as operators see it.
type Status struct {
	Snapshot       *apiv1.Snapshot
	RefusedVersion uint64
	Refusal        string
	// Checked is the time of the last answer to a watch.
	Checked time.Time
}

// New returns a node that has not started.
func New(options Options) *Node {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netfault.Dialer(dialTimeout),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
	n := &Node{
		options:     options,
		incarnation: uint64(time.Now().UnixNano()),
		outcomes:    outcome.NewSum(options.FailureDomain),
		renewNow:    make(chan struct{}, 1),
		applier:     applier{failureDomain: options.FailureDomain},
		directory:   member.NewDirectory(),
		registry:    routing.NewRegistry(),
	}
	for _, addr := range options.Control {
		n.upstreams = append(n.upstreams, &upstream{
			addr:         addr,
			distribution: apiv1.NewDistributionProtobufClient("http://"+addr, client),
			membership:   apiv1.NewMembershipProtobufClient("http://"+addr, client),
		})
	}
	n.status.Store(&Status{})
	return n
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
func (n *Node) Recorder() *outcome.Sum {
	return n.outcomes
}

// Ready reports whether the node has a configuration to serve by.
func (n *Node) Ready() bool {
	return n.table.Load() != nil
}

// Run follows the control group until the context ends, then tells it that the node leaves.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.watchLoop(ctx) })
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
