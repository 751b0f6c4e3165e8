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

var errMessageLost = errors.New("message lost in the test network")

// maxDelay bounds the delay of a message.
const maxDelay = 30 * time.Millisecond

// network delivers messages between in-process instances by address. It loses and delays messages at random, by a seed,
// and drops those of blocked directions.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]apiv1.Replication
	// blocked holds the pairs of sender and receiver whose messages are dropped.
	blocked map[[2]string]bool
	// lossRate and delayRate are the shares of messages that are lost and delayed.
	lossRate  float64
	delayRate float64
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), services: map[string]apiv1.Replication{}, blocked: map[[2]string]bool{}}
}

// attach registers the service at an address; nil means that the instance is down.
func (n *network) attach(addr string, service apiv1.Replication) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[addr] = service
}

func (n *network) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[[2]string]bool{}
	n.lossRate, n.delayRate = 0, 0
}

func (n *network) setLossAndDelay(lossRate, delayRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate, n.delayRate = lossRate, delayRate
}

// route decides at random how one message is delivered. It returns the receiving service, nil if the message is lost, and
// the delay.
func (n *network) route(from, to string) (apiv1.Replication, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[[2]string{from, to}] || n.random.Float64() < n.lossRate {
		return nil, 0
	}
	if n.random.Float64() < n.delayRate {
		return n.services[to], time.Duration(n.random.Int64N(int64(maxDelay)))
	}
	return n.services[to], 0
}

// transport connects one instance to the network.
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
		return nil, errMessageLost
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := service.Join(ctx, request)
	if replyTo, _ := t.network.route(addr, t.addr); replyTo == nil {
		return nil, errMessageLost
	}
	return response, err
}

func (t *transport) Close() {}
