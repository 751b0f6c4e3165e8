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

// baseline measures what it costs when every node polls the control group for whole snapshots. The nodes are
// stopped for it.
func (c *cluster) baseline(ctx context.Context, _ int64, _ cost) ([]bench.Result, error) {
	c.fleet.stopAll()
	if err := rest(settleTime)(ctx); err != nil {
		return nil, err
	}
	relay := c.byRole(deployment.RoleNode)[0]
	polls := &polls{control: c.fleet.control, instance: relay.Instance, failureDomain: relay.FailureDomain}
	measured, err := c.measure(ctx, func(ctx context.Context) error { return polls.run(ctx, len(c.fleet.nodes)) })
	if err != nil {
		return nil, err
	}
	answered, bytes := polls.total()
	if answered == 0 {
		return nil, errors.New("no poll of the baseline was answered")
	}
	perNode := float64(bytes) / float64(len(c.fleet.nodes)) / baselineTime.Seconds()
	name := fmt.Sprintf("baseline, every node polls whole snapshots each %g s", baselineInterval.Seconds())
	return []bench.Result{
		bench.AtMost(name+": bytes of snapshots a node", perNode, "B/s", byteTarget),
		bench.Figure(name+": snapshot", float64(bytes)/float64(answered), "B"),
		bench.Figure(name+": bytes sent by a control instance", measured.control.sent, "B/s"),
		bench.Figure(name+": processor of a control instance", 100*measured.control.cores, "% of a core"),
	}, nil
}

// polls is the nodes of the baseline. The control group hands whole snapshots to relays only, so that they poll
// under the name of one.
type polls struct {
	control       []string
	instance      string
	failureDomain string

	mu       sync.Mutex
	answered int
	bytes    int
}

func (p *polls) run(ctx context.Context, nodes int) error {
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

func (p *polls) poll(ctx context.Context, to *distribution.Client) {
	if rest(rand.N(baselineInterval))(ctx) != nil {
		return
	}
	request := &apiv1.WatchRequest{Instance: p.instance, FailureDomain: p.failureDomain, Relay: true, MembersAfterMs: 1 << 30}
	for ctx.Err() == nil {
		if response, err := to.Distribution.Watch(ctx, request); err == nil {
			snap := &apiv1.Snapshot{}
			_ = proto.Unmarshal(response.Snapshot, snap)
			p.count(len(response.Snapshot))
		}
		if rest(baselineInterval)(ctx) != nil {
			return
		}
	}
}

func (p *polls) count(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered++
	p.bytes += bytes
}

func (p *polls) total() (answered, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered, p.bytes
}
