package node

import (
	"context"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
)

// floorLoop finds the newest version that this node may have applied before it started. It returns only when it is
// known: until then the node serves nothing, because an older version would be a step back.
func (n *Node) floorLoop(ctx context.Context) (uint64, error) {
	begun := time.Now()
	patience := n.options.Timing.FloorTimeout
	for ctx.Err() == nil {
		if patience > 0 && time.Since(begun) > patience {
			n.options.Logger.Warn().Dur("patience_ms", patience).Msg("floor of the configuration version not known, no quorum answers; serving by what is known here")
			return 0, nil
		}
		round := newFloorRound()
		n.askFloor(ctx, round)
		if relays := round.newest(); n.selector.learn(relays) {
			n.relay.LearnRelays(relays)
			n.options.Logger.Info().Uint64("epoch", relays.Epoch).Msg("relays learned")
			continue
		}
		if floor, known := round.floor(); known {
			n.options.Logger.Info().Uint64("version", floor).Msg("floor of the configuration version known")
			return floor, nil
		}
		pause(ctx, retryPause)
	}
	return 0, ctx.Err()
}

// askFloor asks all that may know; it returns when all have answered or failed, or enough is known.
func (n *Node) askFloor(ctx context.Context, round *floorRound) {
	timeout := requestTimeout
	if patience := n.options.Timing.FloorTimeout; patience > 0 {
		timeout = min(timeout, patience)
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
			round.add(response, n.isControl(client.Addr))
			if round.settled() {
				cancel()
			}
		})
	}
	running.Wait()
}

func (n *Node) isControl(addr string) bool {
	for _, control := range n.selector.controls() {
		if control == addr {
			return true
		}
	}
	return false
}

// floorClients lists the known relays, the seeds and the control instances, each once.
func (n *Node) floorClients() []*distribution.Client {
	known := map[string]bool{}
	var clients []*distribution.Client
	add := func(client *distribution.Client) {
		if !known[client.Addr] {
			known[client.Addr] = true
			clients = append(clients, client)
		}
	}
	add(n.own)
	for _, relay := range n.relay.Relays().GetNodes() {
		add(n.dial(relay.ControlAddr))
	}
	for _, addr := range append(append([]string(nil), n.options.Seeds...), n.selector.controls()...) {
		add(n.dial(addr))
	}
	return clients
}
