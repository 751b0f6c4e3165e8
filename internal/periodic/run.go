// Package periodic does work at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls work once an interval, first after the first one, until the context ends. Work that takes longer than
// the interval skips calls. It returns nil, so that an error group goes on.
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
