package node

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// awaitFloor returns the floor: the newest version that this node may have applied before it started. Until it is known
// the node serves nothing, because an older version would undo changes that the node had already applied. After
// Timing.FloorTimeout, if set, awaitFloor gives up and returns 0.
func (n *Node) awaitFloor(ctx context.Context) (uint64, error) {
	start := time.Now()
	timeout := n.options.Timing.FloorTimeout
	for ctx.Err() == nil {
		if timeout > 0 && time.Since(start) > timeout {
			n.options.Logger.Warn().Dur("patience_ms", timeout).Msg("floor of the configuration version not known, no quorum answers; serving by what is known here")
			return 0, nil
		}
		round := newFloorRound()
		n.queryFloor(ctx, round)
		if relays := round.knownRelays(); n.selector.learnRelays(relays) {
			n.relay.LearnRelays(relays)
			n.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("relays learned")
			continue
		}
		if floor, known := round.floor(); known {
			n.options.Logger.Info().Uint64("version", floor).Msg("floor of the configuration version known")
			return floor, nil
		}
		sleepWithJitter(ctx, minRetryDelay)
	}
	return 0, ctx.Err()
}

// queryFloor queries all processes that may know the floor. It returns when all have answered or failed, or when further
// answers would not change the floor.
func (n *Node) queryFloor(ctx context.Context, round *floorRound) {
	timeout := requestTimeout
	if limit := n.options.Timing.FloorTimeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var running sync.WaitGroup
	for _, client := range n.floorClients() {
		running.Go(func() {
			response, err := client.Distribution.Floor(ctx, &apiv1.FloorRequest{FailureDomain: n.options.FailureDomain})
			if err != nil {
				return
			}
			n.learnControlInstances(response.ControlInstances)
			round.add(response, n.isControl(client.Addr))
			if round.settled() {
				cancel()
			}
		})
	}
	running.Wait()
}

func (n *Node) isControl(addr string) bool {
	for _, control := range n.selector.controlAddrs() {
		if control == addr {
			return true
		}
	}
	return false
}

// floorClients returns clients of this node's relay, the known relays, the seeds and the control instances, each once.
func (n *Node) floorClients() []*distribution.Client {
	known := map[string]bool{}
	var clients []*distribution.Client
	add := func(client *distribution.Client) {
		if !known[client.Addr] {
			known[client.Addr] = true
			clients = append(clients, client)
		}
	}
	add(n.ownRelay)
	for _, relay := range n.relay.Relays().GetNodes() {
		add(n.dial(relay.ControlAddr))
	}
	for _, addr := range append(append([]string(nil), n.options.Seeds...), n.selector.controlAddrs()...) {
		add(n.dial(addr))
	}
	return clients
}
