package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
)

const (
	defaultCallTimeout = time.Second
	peerQueueLength    = 256
)

// TwirpOptions configures a TwirpTransport.
type TwirpOptions struct {
	ClusterID string
	// OwnAddr is the control address of this instance, to which the receivers send their replies.
	OwnAddr string
	// Timeout limits one call. It defaults to one second.
	Timeout time.Duration
	Logger  zerolog.Logger
}

// TwirpTransport sends messages to the Replication service of the other members. It makes one Step call at a time to each
// address.
type TwirpTransport struct {
	options TwirpOptions
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	peers   map[string]*peer
}

// NewTwirpTransport returns a transport. It connects to an address when the first message is sent there.
func NewTwirpTransport(options TwirpOptions) *TwirpTransport {
	if options.Timeout <= 0 {
		options.Timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &TwirpTransport{
		options: options,
		client:  newPeerClient(options.Timeout),
		ctx:     ctx,
		cancel:  cancel,
		peers:   map[string]*peer{},
	}
}

// Send queues messages for a member. It drops messages to a member without a known address.
func (t *TwirpTransport) Send(to Member, messages []*apiv1.ReplicationMessage) {
	if to.ControlAddr == "" || t.ctx.Err() != nil {
		return
	}
	t.peer(to.ControlAddr).enqueue(messages)
}

func (t *TwirpTransport) peer(addr string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[addr]
	if p == nil {
		p = newPeer(t, addr)
		t.peers[addr] = p
		t.group.Add(1)
		go p.run()
	}
	return p
}

// Join calls the Join method of the instance at addr.
func (t *TwirpTransport) Join(ctx context.Context, addr string, request *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	return apiv1.NewReplicationProtobufClient("http://"+addr, t.client).Join(ctx, request)
}

// Close cancels the Step calls in flight, waits until they have ended and closes the idle connections.
func (t *TwirpTransport) Close() {
	t.cancel()
	t.group.Wait()
	t.client.CloseIdleConnections()
}
