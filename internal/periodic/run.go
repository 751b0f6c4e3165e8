// Package periodic runs a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls work once per interval until the context ends; the first call is made after one interval. If work takes
// longer than the interval, calls are skipped. Run always returns nil, so that it does not cancel the other members of an
// errgroup.
func Run(ctx context.Context, interval time.Duration, work func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			work(now)
		}
	}
}
