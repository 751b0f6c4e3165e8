package deployment

import (
	"context"
	"fmt"
	"time"

	"samphireflow/internal/tree"
)

const (
	// rootTimeout, overrideTimeout and secondRootTimeout are call timeouts that the demo sets, one after the other: at
	// the root, at the first service and at the root again.
	rootTimeout       = 1500 * time.Millisecond
	overrideTimeout   = 900 * time.Millisecond
	secondRootTimeout = 1400 * time.Millisecond
	// convergenceTarget is the time within which an edit is in force on every node.
	convergenceTarget = 11 * time.Second
)

// stepEditRoot sets the call timeout at the root of the tree.
func (d *demo) stepEditRoot(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", rootTimeout, func(string) time.Duration { return rootTimeout })
}

// stepOverride overrides the call timeout for the first service.
func (d *demo) stepOverride(ctx context.Context) (string, error) {
	service := d.layout.Services[0].Name
	path := tree.Path{Level: tree.LevelService, Service: service}
	return d.edit(ctx, path.String(), overrideTimeout, d.timeoutsWithOverride(rootTimeout))
}

// stepEditAfterKill changes the call timeout at the root again; the override stays.
func (d *demo) stepEditAfterKill(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", secondRootTimeout, d.timeoutsWithOverride(secondRootTimeout))
}

// timeoutsWithOverride returns a function that gives the call timeout of a service: overrideTimeout for the first
// service, the given timeout for all others.
func (d *demo) timeoutsWithOverride(others time.Duration) func(service string) time.Duration {
	return func(service string) time.Duration {
		if service == d.layout.Services[0].Name {
			return overrideTimeout
		}
		return others
	}
}

// edit sets the call timeout of a branch and waits until every running node has applied the expected timeouts.
func (d *demo) edit(ctx context.Context, path string, timeout time.Duration, expected func(string) time.Duration) (string, error) {
	started := time.Now()
	if _, err := d.cli.run(ctx, "set", path, tree.KeyCallTimeout+"="+timeout.String()); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, convergenceTarget)
	defer cancel()
	nodes := d.runningNodes()
	if err := awaitTimeouts(ctx, nodes, expected); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d nodes in %s (target %s)", len(nodes), formatSeconds(time.Since(started)), formatSeconds(convergenceTarget)), nil
}
