package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/bench"
	"samphireflow/internal/deployment"
	"samphireflow/internal/distribution"
)

const (
	// baselineInterval is the time between two polls of a node in the baseline: half of the bound on convergence.
	baselineInterval = convergenceTarget * time.Second / 2
	// baselineTime is the time over which the baseline is measured.
	baselineTime = 20 * time.Second
)

// measureBaseline measures the cost of a design in which every node polls the control group for full snapshots. The
// nodes of the fleet are stopped first.
func (c *cluster) measureBaseline(ctx context.Context, _ int64, _ cost) ([]bench.Result, error) {
	c.fleet.stopAll()
	if err := sleep(settleTime)(ctx); err != nil {
		return nil, err
	}
	relay := c.byRole(deployment.RoleNode)[0]
	pollers := &pollers{control: c.fleet.control, instance: relay.Instance, failureDomain: relay.FailureDomain}
	measured, err := c.measureCost(ctx, func(ctx context.Context) error { return pollers.run(ctx, len(c.fleet.nodes)) })
	if err != nil {
		return nil, err
	}
	responses, bytes := pollers.total()
	if responses == 0 {
		return nil, errors.New("no poll of the baseline got a response")
	}
	perNode := float64(bytes) / float64(len(c.fleet.nodes)) / baselineTime.Seconds()
	name := fmt.Sprintf("baseline, every node polls whole snapshots each %g s", baselineInterval.Seconds())
	return []bench.Result{
		bench.AtMost(name+": bytes of snapshots a node", perNode, "B/s", byteTarget),
		bench.Figure(name+": snapshot", float64(bytes)/float64(responses), "B"),
		bench.Figure(name+": bytes sent by a control instance", measured.control.sent, "B/s"),
		bench.Figure(name+": processor of a control instance", 100*measured.control.cores, "% of a core"),
	}, nil
}

// pollers simulates the polling nodes of the baseline. The control group sends full snapshots only to relays, so all
// pollers use the instance name of one relay.
type pollers struct {
	control       []string
	instance      string
	failureDomain string

	mu        sync.Mutex
	responses int
	bytes     int
}

func (p *pollers) run(ctx context.Context, nodes int) error {
	ctx, cancel := context.WithTimeout(ctx, baselineTime)
	defer cancel()
	client := distribution.NewHTTPClient()
	var running sync.WaitGroup
	for i := range nodes {
		to := distribution.Dial(p.control[i%len(p.control)], client)
		running.Go(func() { p.poll(ctx, to) })
	}
	running.Wait()
	return nil
}

func (p *pollers) poll(ctx context.Context, to *distribution.Client) {
	if sleep(rand.N(baselineInterval))(ctx) != nil {
		return
	}
	request := &apiv1.WatchRequest{Instance: p.instance, FailureDomain: p.failureDomain, Relay: true, MembersAfterMs: 1 << 30}
	for ctx.Err() == nil {
		if response, err := to.Distribution.Watch(ctx, request); err == nil {
			snap := &apiv1.Snapshot{}
			_ = proto.Unmarshal(response.Snapshot, snap)
			p.add(len(response.Snapshot))
		}
		if sleep(baselineInterval)(ctx) != nil {
			return
		}
	}
}

func (p *pollers) add(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses++
	p.bytes += bytes
}

func (p *pollers) total() (responses, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses, p.bytes
}
