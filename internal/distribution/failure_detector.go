package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
	"samphireflow/internal/periodic"
)

const (
	// reapInterval is the time between checks for leases that have run out.
	reapInterval = 500 * time.Millisecond
	// probeTimeout is the time in which a live node answers a probe.
	probeTimeout = time.Second
	// probeLimit is the number of nodes that are probed at the same time.
	probeLimit = 16
	// helperCount is the number of other processes that are asked to probe a node that does not answer.
	helperCount = 2
)

// FailureDetector ends the leases of dead nodes. A node whose lease ran out is probed, directly and through others: one that
// answers is slow or cut off from its home, not dead, and keeps its lease.
type FailureDetector struct {
	hub    *member.Hub
	client *http.Client
	// helpers returns other processes that can be asked to probe too.
	helpers func() []*Client
	probes  *semaphore.Weighted

	mu      sync.Mutex
	probing map[string]bool
}

// NewFailureDetector returns a reaper for the leases of a hub. The helpers are asked to probe too.
func NewFailureDetector(hub *member.Hub, client *http.Client, helpers func() []*Client) *FailureDetector {
	return &FailureDetector{hub: hub, client: client, helpers: helpers, probes: semaphore.NewWeighted(probeLimit), probing: map[string]bool{}}
}

// Run checks the leases until the context ends.
func (r *FailureDetector) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return periodic.Run(ctx, reapInterval, func(now time.Time) {
		for _, info := range r.hub.Expire(now) {
			if r.begin(info.Instance) {
				running.Go(func() { r.settle(ctx, info) })
			}
		}
	})
}

func (r *FailureDetector) begin(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing[instance] {
		return false
	}
	r.probing[instance] = true
	return true
}

func (r *FailureDetector) settle(ctx context.Context, info *apiv1.NodeInfo) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.probing, info.Instance)
	}()
	if r.probes.Acquire(ctx, 1) != nil {
		return
	}
	defer r.probes.Release(1)
	reached := ProbeNode(ctx, r.client, info.ControlAddr) || r.askHelpers(ctx, info.ControlAddr)
	if ctx.Err() == nil {
		r.hub.ResolveOverdue(info, reached, time.Now())
	}
}

// askHelpers asks some others whether they reach a node.
func (r *FailureDetector) askHelpers(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+requestTimeout)
	defer cancel()
	answers := make(chan bool, helperCount)
	asked := 0
	helpers := r.helpers()
	for _, i := range rand.Perm(len(helpers)) {
		if asked == helperCount {
			break
		}
		asked++
		go func() {
			response, err := helpers[i].Relay.Probe(ctx, &apiv1.ProbeRequest{ControlAddr: addr})
			answers <- err == nil && response.Reached
		}()
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// ProbeNode reports whether the node at a control address answers in time.
func ProbeNode(ctx context.Context, client *http.Client, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := apiv1.NewInspectProtobufClient("http://"+addr, client).Applied(ctx, &apiv1.AppliedRequest{})
	return err == nil
}
