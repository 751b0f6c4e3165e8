package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
)

var errCut = errors.New("the network is cut")

// maxDelay is the longest time that a delayed message takes.
const maxDelay = 30 * time.Millisecond

// network carries messages between in-process instances by address, with seeded loss, delay and cuts.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]apiv1.Replication
	// cuts holds directions that let nothing through.
	cuts  map[[2]string]bool
	drop  float64
	delay float64
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), services: map[string]apiv1.Replication{}, cuts: map[[2]string]bool{}}
}

func (n *network) attach(addr string, service apiv1.Replication) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[addr] = service
}

func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[[2]string]bool{}
	n.drop, n.delay = 0, 0
}

func (n *network) disturb(drop, delay float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.delay = drop, delay
}

// route draws the fate of one message: the service that gets it, nil when it is lost, and its delay.
func (n *network) route(from, to string) (apiv1.Replication, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{from, to}] || n.random.Float64() < n.drop {
		return nil, 0
	}
	if n.random.Float64() < n.delay {
		return n.services[to], time.Duration(n.random.Int64N(int64(maxDelay)))
	}
	return n.services[to], 0
}

// transport is one instance's side of the network.
type transport struct {
	network *network
	addr    string
}

func (t *transport) Send(to replica.Member, messages []*apiv1.ReplicationMessage) {
	service, delay := t.network.route(t.addr, to.ControlAddr)
	if service == nil {
		return
	}
	request := &apiv1.StepRequest{ClusterId: clusterID, FromAddr: t.addr, Messages: messages}
	step := func() { _, _ = service.Step(context.Background(), request) }
	if delay > 0 {
		time.AfterFunc(delay, step)
		return
	}
	step()
}

func (t *transport) Join(ctx context.Context, addr string, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	service, _ := t.network.route(t.addr, addr)
	if service == nil {
		return nil, errCut
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := service.Join(ctx, request)
	if back, _ := t.network.route(addr, t.addr); back == nil {
		return nil, errCut
	}
	return response, err
}

func (t *transport) Close() {}
