package distribution

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/deployment"
)

// cost is what each role uses a second, for one process of the role.
type cost struct {
	nodes   int
	control rate
	relay   rate
	node    rate
}

const (
	// settleTime is the time after a change of size before costs are measured, and settlePerNode what each node adds,
	// because a node takes the list of members at a bounded rate.
	settleTime    = 5 * time.Second
	settlePerNode = 70 * time.Millisecond
)

// measure takes the costs over a time in which work is done.
func (c *cluster) measure(ctx context.Context, work func(ctx context.Context) error) (cost, error) {
	before, err := c.read()
	if err != nil {
		return cost{}, err
	}
	if err := work(ctx); err != nil {
		return cost{}, err
	}
	after, err := c.read()
	if err != nil {
		return cost{}, err
	}
	return cost{
		nodes:   c.size(),
		control: after.control.since(before.control).per(len(c.pids(deployment.RoleControl))),
		relay:   after.relay.since(before.relay).per(len(c.pids(deployment.RoleNode))),
		node:    after.node.since(before.node).per(max(1, len(c.fleet.nodes))),
	}, nil
}

// reading is the usage of the processes of each role.
type reading struct {
	control usage
	relay   usage
	node    usage
}

func (c *cluster) read() (reading, error) {
	var r reading
	var err error
	if r.control, err = usageOf(c.pids(deployment.RoleControl)...); err != nil {
		return r, err
	}
	if r.relay, err = usageOf(c.pids(deployment.RoleNode)...); err != nil {
		return r, err
	}
	r.node, err = usageOf(os.Getpid())
	return r, err
}

// rest does nothing for a time.
func rest(d time.Duration) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-timer.C:
			return nil
		}
	}
}
