package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// lookupTimeout bounds the time for which the renewal of a restarted node waits for the control instances. It is below the time limits
// of nodes for a renewal.
const lookupTimeout = 500 * time.Millisecond

// LearnDrains takes over into the hub what control instances know of the end of the backend servers of a renewal, and of the orders to
// drain them. It returns once each of them has answered or failed. Without it, a process that was away could answer a restarted node
// before it has exchanged members with those that have stored what the node acknowledged.
func LearnDrains(ctx context.Context, hub *member.Hub, request *apiv1.RenewRequest, control []*Client, logger zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	lookup := &apiv1.ListDrainsRequest{Node: request.Node.GetInstance()}
	for _, server := range request.Servers {
		lookup.Instances = append(lookup.Instances, server.Instance)
	}
	var running sync.WaitGroup
	for _, client := range control {
		running.Go(func() {
			response, err := client.Membership.ListDrains(ctx, lookup)
			if err != nil {
				logger.Debug().Err(err).Str("control", client.Addr).Msg("drains not listed by a control instance")
				return
			}
			hub.Merge("", nil, response.Servers, time.Now())
		})
	}
	running.Wait()
}
