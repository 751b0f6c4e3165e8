package deployment

import (
	"context"
	"fmt"
	"time"

	"samphireflow/internal/tree"
)

const (
	topTimeout      = 1500 * time.Millisecond
	overrideTimeout = 900 * time.Millisecond
	laterTimeout    = 1400 * time.Millisecond
	// convergenceTarget is the time within which an edit is in force on every node.
	convergenceTarget = 11 * time.Second
)

func (d *demo) stepEditTop(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", topTimeout, func(string) time.Duration { return topTimeout })
}

func (d *demo) stepOverride(ctx context.Context) (string, error) {
	service := d.layout.Services[0].Name
	path := tree.Path{Level: tree.LevelService, Service: service}
	return d.edit(ctx, path.String(), overrideTimeout, d.withOverride(topTimeout))
}

func (d *demo) stepEditAfterKill(ctx context.Context) (string, error) {
	return d.edit(ctx, "/", laterTimeout, d.withOverride(laterTimeout))
}

// withOverride returns the call timeout of each service when the first one has the override.
func (d *demo) withOverride(others time.Duration) func(service string) time.Duration {
	return func(service string) time.Duration {
		if service == d.layout.Services[0].Name {
			return overrideTimeout
		}
		return others
	}
}

// edit sets the call timeout of a branch and waits until every node that runs has the timeouts expected.
func (d *demo) edit(ctx context.Context, path string, timeout time.Duration, expected func(string) time.Duration) (string, error) {
	started := time.Now()
	if _, err := d.cli.run(ctx, "set", path, tree.KeyCallTimeout+"="+timeout.String()); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, convergenceTarget)
	defer cancel()
	nodes := d.nodes()
	if err := awaitTimeouts(ctx, nodes, expected); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d nodes in %s (target %s)", len(nodes), seconds(time.Since(started)), seconds(convergenceTarget)), nil
}
