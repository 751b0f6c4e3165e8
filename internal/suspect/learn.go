package suspect

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "samphireflow/api/v1"
)

const (
	// learnDelay is the time between the start of a node and its question to others, and between two questions. It leaves the
	// first moments of a start to what callers wait for.
	learnDelay = 500 * time.Millisecond
	// learnPeers is the number of nodes that are asked. Some of them may have restarted too.
	learnPeers = 3
	// maxLearnRounds is the number of times that a node asks. At a first start there may be nobody to ask for some time.
	maxLearnRounds = 20
)

// learn asks other nodes which requests are suspect, so that a node that has restarted does not send a request that crashes
// backend servers to two more of them. It returns once a node has answered.
func (t *Tracker) learn(ctx context.Context) {
	for range maxLearnRounds {
		select {
		case <-ctx.Done():
			return
		case <-time.After(learnDelay):
		}
		if t.askPeers(ctx) > 0 {
			return
		}
	}
}

// askPeers asks some other nodes and returns how many of them answered with fingerprints that this node computes, too.
func (t *Tracker) askPeers(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	peers := t.options.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var answered atomic.Int64
	var group errgroup.Group
	for _, addr := range peers[:min(learnPeers, len(peers))] {
		group.Go(func() error {
			response, err := apiv1.NewTrafficProtobufClient("http://"+addr, t.options.Client).Suspects(ctx, &apiv1.SuspectsRequest{})
			if err != nil {
				t.options.Logger.Debug().Err(err).Str("peer", addr).Msg("asking another node for suspect requests failed")
				return nil
			}
			if response.FingerprintVersion != fingerprintVersion {
				// The node of another build knows nothing of use, but a third may.
				return nil
			}
			t.store.Merge(response.Requests, t.options.Now())
			answered.Add(1)
			return nil
		})
	}
	_ = group.Wait()
	return int(answered.Load())
}

// List lists the suspect requests that this node knows.
func (t *Tracker) List() *apiv1.SuspectsResponse {
	return &apiv1.SuspectsResponse{Requests: t.store.List(t.options.Now()), FingerprintVersion: fingerprintVersion}
}
