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
	// expiryCheckInterval is the time between checks for expired leases.
	expiryCheckInterval = 500 * time.Millisecond
	// probeTimeout is the time limit for the reply to a probe.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the number of nodes that are probed at the same time.
	maxConcurrentProbes = 16
	// indirectProbeCount is the number of other processes that are asked to probe a node that does not reply.
	indirectProbeCount = 2
)

// FailureDetector ends the leases of nodes that have crashed or cannot be reached. It probes a node whose lease expired,
// directly and then through other processes. A node that replies is slow, or partitioned from the process at which it
// renews its lease, but is running, and keeps its lease.
type FailureDetector struct {
	hub    *member.Hub
	client *http.Client
	// peers returns the other processes that can be asked for an indirect probe.
	peers      func() []*Client
	probeSlots *semaphore.Weighted

	mu      sync.Mutex
	probing map[string]bool
}

// NewFailureDetector returns a failure detector for the leases of a hub. The peers are asked for indirect probes.
func NewFailureDetector(hub *member.Hub, client *http.Client, peers func() []*Client) *FailureDetector {
	return &FailureDetector{hub: hub, client: client, peers: peers, probeSlots: semaphore.NewWeighted(maxConcurrentProbes), probing: map[string]bool{}}
}

// Run checks the leases until the context is done.
func (d *FailureDetector) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return periodic.Run(ctx, expiryCheckInterval, func(now time.Time) {
		for _, info := range d.hub.Expire(now) {
			if d.startProbe(info.Instance) {
				running.Go(func() { d.resolve(ctx, info) })
			}
		}
	})
}

// startProbe marks a node as being probed. It returns false when it is already.
func (d *FailureDetector) startProbe(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing[instance] {
		return false
	}
	d.probing[instance] = true
	return true
}

// resolve probes a node with an expired lease and extends or ends the lease.
func (d *FailureDetector) resolve(ctx context.Context, info *apiv1.NodeInfo) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.probing, info.Instance)
	}()
	if d.probeSlots.Acquire(ctx, 1) != nil {
		return
	}
	defer d.probeSlots.Release(1)
	reached := ProbeNode(ctx, d.client, info.ControlAddr) || d.probeIndirectly(ctx, info.ControlAddr)
	if ctx.Err() == nil {
		d.hub.ResolveOverdue(info, reached, time.Now())
	}
}

// probeIndirectly asks randomly chosen peers to probe a node and reports whether any of them reached it.
func (d *FailureDetector) probeIndirectly(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+requestTimeout)
	defer cancel()
	results := make(chan bool, indirectProbeCount)
	asked := 0
	peers := d.peers()
	for _, i := range rand.Perm(len(peers)) {
		if asked == indirectProbeCount {
			break
		}
		asked++
		go func() {
			response, err := peers[i].Relay.Probe(ctx, &apiv1.ProbeRequest{ControlAddr: addr})
			results <- err == nil && response.Reached
		}()
	}
	for range asked {
		if <-results {
			return true
		}
	}
	return false
}

// ProbeNode reports whether the node at a control address replies to a probe within probeTimeout.
func ProbeNode(ctx context.Context, client *http.Client, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := apiv1.NewInspectProtobufClient("http://"+addr, client).Applied(ctx, &apiv1.AppliedRequest{})
	return err == nil
}
