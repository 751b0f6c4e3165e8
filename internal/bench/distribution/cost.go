package distribution

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/deployment"
)

// cost is the average usage per second of one process of each role.
type cost struct {
	nodes   int
	control usageRate
	relay   usageRate
	node    usageRate
}

const (
	// settleTime is the wait between a change of the cluster size and the measurement of costs. settlePerNode is added
	// for each node, because nodes fetch the member list at a bounded rate.
	settleTime    = 5 * time.Second
	settlePerNode = 70 * time.Millisecond
)

// measureCost measures the costs while work runs.
func (c *cluster) measureCost(ctx context.Context, work func(ctx context.Context) error) (cost, error) {
	before, err := c.readUsage()
	if err != nil {
		return cost{}, err
	}
	if err := work(ctx); err != nil {
		return cost{}, err
	}
	after, err := c.readUsage()
	if err != nil {
		return cost{}, err
	}
	return cost{
		nodes:   c.size(),
		control: after.control.rateSince(before.control).per(len(c.pids(deployment.RoleControl))),
		relay:   after.relay.rateSince(before.relay).per(len(c.pids(deployment.RoleNode))),
		node:    after.node.rateSince(before.node).per(max(1, len(c.fleet.nodes))),
	}, nil
}

// usageByRole is the total usage of all processes of each role.
type usageByRole struct {
	control usage
	relay   usage
	node    usage
}

func (c *cluster) readUsage() (usageByRole, error) {
	var r usageByRole
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

// sleep returns a function that waits for the duration and fails when its context ends first.
func sleep(d time.Duration) func(ctx context.Context) error {
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
