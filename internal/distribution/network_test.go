package distribution_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxDelay is the longest time that a message takes on the fake network.
const maxDelay = 50 * time.Millisecond

var errDown = errors.New("connection refused")

// network carries requests between processes by address. A cut is silent: messages wait until it heals.
type network struct {
	mu        sync.Mutex
	random    *rand.Rand
	processes map[string]*process
	// cut holds the ordered pairs of addresses between which nothing passes.
	cut map[[2]string]bool
	// changed is closed at every change of the network.
	changed chan struct{}
	// tamper changes an answer on its way from a process; nil for none.
	tamper func(from, to, path string, body []byte) []byte
}

// process is one start of a process on the network.
type process struct {
	handler http.Handler
	dead    bool
	frozen  bool
}

func newNetwork(seed uint64) *network {
	return &network{
		random:    rand.New(rand.NewPCG(seed, 1)),
		processes: map[string]*process{},
		cut:       map[[2]string]bool{},
		changed:   make(chan struct{}),
	}
}

// change makes a change that waiting messages look at.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// client returns the HTTP client of a process at an address.
func (n *network) client(addr string, p *process) *http.Client {
	return &http.Client{Transport: &link{network: n, addr: addr, process: p}}
}

// pass waits until a message can go from one process to another.
func (n *network) pass(ctx context.Context, from string, sender *process, to string, receiver *process) error {
	for {
		n.mu.Lock()
		dead := sender.dead || receiver == nil || receiver.dead
		held := n.cut[[2]string{from, to}] || sender.frozen || receiver != nil && receiver.frozen
		changed := n.changed
		n.mu.Unlock()
		switch {
		case held && !sender.dead:
		case dead:
			return errDown
		default:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.random.Int64N(int64(maxDelay)))
}

// link is the way of one process to all others.
type link struct {
	network *network
	addr    string
	process *process
}

// RoundTrip lets the receiver serve a request, with delays by which messages cross.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	to := request.URL.Host
	l.network.mu.Lock()
	receiver := l.network.processes[to]
	l.network.mu.Unlock()
	time.Sleep(l.network.delay())
	if err := l.network.pass(ctx, l.addr, l.process, to, receiver); err != nil {
		return nil, err
	}
	served := request.Clone(ctx)
	served.Body = io.NopCloser(bytes.NewReader(body))
	served.RequestURI = request.URL.RequestURI()
	recorder := httptest.NewRecorder()
	receiver.handler.ServeHTTP(recorder, served)
	time.Sleep(l.network.delay())
	if err := l.network.pass(ctx, to, receiver, l.addr, l.process); err != nil {
		return nil, err
	}
	response := recorder.Result()
	l.network.mu.Lock()
	tamper := l.network.tamper
	l.network.mu.Unlock()
	if tamper != nil && response.StatusCode == http.StatusOK {
		changed := tamper(to, l.addr, request.URL.Path, recorder.Body.Bytes())
		response.Body = io.NopCloser(bytes.NewReader(changed))
		response.ContentLength = int64(len(changed))
	}
	return response, nil
}
