package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/distribution"
	"samphireflow/internal/node"
)

// fleet holds the nodes that run in this process.
type fleet struct {
	control []string
	seeds   map[string][]string
	nodes   []*host
}

// host is one node with its HTTP server and the heartbeat of a simulated backend server on the same host.
type host struct {
	fleet   *fleet
	number  int
	domain  string
	service string
	starts  uint64
	// addr is reused after a restart if its port is still free.
	addr string

	mu       sync.Mutex
	node     *node.Node
	shutdown func()
}

// heartbeat is the time between announcements of a backend server.
const heartbeat = time.Second

// growTo starts nodes until count nodes exist.
func (f *fleet) growTo(ctx context.Context, count int) error {
	for len(f.nodes) < count {
		number := len(f.nodes)
		h := &host{
			fleet:   f,
			number:  number,
			domain:  domains[number%len(domains)],
			service: serviceName(number % serviceCount),
		}
		if err := h.start(ctx); err != nil {
			return err
		}
		f.nodes = append(f.nodes, h)
	}
	return nil
}

// stopAll stops all nodes concurrently and waits for them.
func (f *fleet) stopAll() {
	var running sync.WaitGroup
	for _, h := range f.nodes {
		running.Go(h.stop)
	}
	running.Wait()
}

// countBehind counts the nodes that do not act on a version yet.
func (f *fleet) countBehind(version uint64) int {
	count := 0
	for _, h := range f.nodes {
		if h.version() < version {
			count++
		}
	}
	return count
}

func (h *host) version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node == nil {
		return 0
	}
	return h.node.Status().Snapshot.GetVersion()
}

// start starts a new node without any state of its predecessor, as after a restart of a real process.
func (h *host) start(ctx context.Context) error {
	listener, err := h.listen()
	if err != nil {
		return err
	}
	h.addr = listener.Addr().String()
	n := node.New(node.Options{
		Instance:      fmt.Sprintf("node-%03d", h.number),
		FailureDomain: h.domain,
		ControlAddr:   h.addr,
		Control:       h.fleet.control,
		Seeds:         h.fleet.seeds[h.domain],
		Logger:        zerolog.Nop(),
	})
	mux := http.NewServeMux()
	n.Register(mux)
	inspect := apiv1.NewInspectServer(n)
	mux.Handle(inspect.PathPrefix(), inspect)
	server := &http.Server{Handler: mux, Protocols: distribution.ServerProtocols()}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { _ = n.Run(ctx) })
	h.starts++
	incarnation := uint64(time.Now().UnixNano())
	running.Go(func() { h.announce(ctx, n, incarnation) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = n
	h.shutdown = func() {
		cancel()
		_ = server.Close()
		running.Wait()
	}
	return nil
}

func (h *host) listen() (net.Listener, error) {
	if h.addr != "" {
		if listener, err := net.Listen("tcp", h.addr); err == nil {
			return listener, nil
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen")
}

// stop stops the node.
func (h *host) stop() {
	h.mu.Lock()
	shutdown := h.shutdown
	h.node, h.shutdown = nil, nil
	h.mu.Unlock()
	if shutdown != nil {
		shutdown()
	}
}

// announce sends the heartbeats of the simulated backend server to the node until the context ends.
func (h *host) announce(ctx context.Context, n *node.Node, incarnation uint64) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	started := time.Now().UnixMilli()
	for {
		server := &apiv1.BackendServer{
			Instance:      fmt.Sprintf("server-%03d", h.number),
			FailureDomain: h.domain,
			Service:       h.service,
			Version:       "v1",
			Addr:          fmt.Sprintf("10.0.%d.%d:8080", h.number/250, h.number%250),
			Slots:         10,
			Connections:   130,
			Incarnation:   incarnation,
			State:         apiv1.ServerState_SERVER_STATE_READY,
			StartedUnixMs: started,
		}
		_, _ = n.Announce(ctx, &apiv1.AnnounceRequest{Server: server})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
