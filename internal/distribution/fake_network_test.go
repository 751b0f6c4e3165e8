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

// maxDelay is the maximum delay of a message.
const maxDelay = 50 * time.Millisecond

var errConnectionRefused = errors.New("connection refused")

// fakeNetwork carries requests between processes by address. A blocked path gives no error: messages wait until it is
// healed.
type fakeNetwork struct {
	mu        sync.Mutex
	random    *rand.Rand
	processes map[string]*process
	// blocked contains the pairs of sender and receiver address whose messages wait.
	blocked map[[2]string]bool
	// changed is closed at every change of the network.
	changed chan struct{}
	// rewriteResponse returns the body to deliver in place of a response body; nil to deliver it unchanged.
	rewriteResponse func(from, to, path string, body []byte) []byte
}

// process is a process on the network. A restart makes a new one.
type process struct {
	handler http.Handler
	crashed bool
	paused  bool
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{
		random:    rand.New(rand.NewPCG(seed, 1)),
		processes: map[string]*process{},
		blocked:   map[[2]string]bool{},
		changed:   make(chan struct{}),
	}
}

// change changes the network and makes waiting messages check it again.
func (n *fakeNetwork) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// client returns the HTTP client of a process at an address.
func (n *fakeNetwork) client(addr string, p *process) *http.Client {
	return &http.Client{Transport: &fakeTransport{network: n, addr: addr, process: p}}
}

// awaitPath waits until a message can pass from one process to another. It fails when one of them has crashed.
func (n *fakeNetwork) awaitPath(ctx context.Context, from string, sender *process, to string, receiver *process) error {
	for {
		n.mu.Lock()
		senderCrashed := sender.crashed
		crashed := senderCrashed || receiver == nil || receiver.crashed
		blocked := n.blocked[[2]string{from, to}] || sender.paused || receiver != nil && receiver.paused
		changed := n.changed
		n.mu.Unlock()
		switch {
		case blocked && !senderCrashed:
		case crashed:
			return errConnectionRefused
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

func (n *fakeNetwork) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.random.Int64N(int64(maxDelay)))
}

// fakeTransport is the HTTP transport of one process.
type fakeTransport struct {
	network *fakeNetwork
	addr    string
	process *process
}

// RoundTrip has the receiver serve a request. Random delays in both directions reorder concurrent messages.
func (t *fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	to := request.URL.Host
	t.network.mu.Lock()
	receiver := t.network.processes[to]
	t.network.mu.Unlock()
	time.Sleep(t.network.delay())
	if err := t.network.awaitPath(ctx, t.addr, t.process, to, receiver); err != nil {
		return nil, err
	}
	served := request.Clone(ctx)
	served.Body = io.NopCloser(bytes.NewReader(body))
	served.RequestURI = request.URL.RequestURI()
	recorder := httptest.NewRecorder()
	receiver.handler.ServeHTTP(recorder, served)
	time.Sleep(t.network.delay())
	if err := t.network.awaitPath(ctx, to, receiver, t.addr, t.process); err != nil {
		return nil, err
	}
	response := recorder.Result()
	t.network.mu.Lock()
	rewrite := t.network.rewriteResponse
	t.network.mu.Unlock()
	if rewrite != nil && response.StatusCode == http.StatusOK {
		changed := rewrite(to, t.addr, request.URL.Path, recorder.Body.Bytes())
		response.Body = io.NopCloser(bytes.NewReader(changed))
		response.ContentLength = int64(len(changed))
	}
	return response, nil
}
