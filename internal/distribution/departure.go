package distribution

import (
	"context"
	"time"

	apiv1 "samphireflow/api/v1"
)

// handOnTimeout bounds the time for which the renewal of a node waits for other processes to take its records. It is below the
// time limits of nodes for a renewal.
const handOnTimeout = 500 * time.Millisecond

// handOn sends records of this relay's table to all control instances and the other relays at once, and reports whether any of
// them has taken them. A relay has no disk, and the node that renews its leases may run in this very process.
func (r *Relay) handOn(ctx context.Context, servers []*apiv1.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	held, _ := r.state.newestVersions()
	targets := r.otherRelays()
	targets = append(targets, r.controlClients()...)
	taken := make(chan bool, len(targets))
	for _, target := range targets {
		go func() {
			request := r.syncRequest(held)
			request.Servers = servers
			_, err := target.Relay.Sync(ctx, request)
			if err != nil {
				r.options.Logger.Debug().Err(err).Str("to", target.Addr).Msg("drain not handed on")
			}
			taken <- err == nil
		}()
	}
	for range targets {
		if <-taken {
			// The others get the records by the exchange of members at the latest.
			return true
		}
	}
	return false
}

func (r *Relay) controlClients() []*Client {
	clients := make([]*Client, len(r.controls))
	for i, control := range r.controls {
		clients[i] = control.client
	}
	return clients
}
