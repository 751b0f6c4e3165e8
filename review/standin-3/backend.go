//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const beatInterval = 870 * time.Millisecond

// slots is the number of requests that a backend processes concurrently.
const slots = 8

// arrival is a request that reached a backend.
type arrival struct {
	server  string
	id      string
	at      time.Time
	path    string
	body    string
	request *http.Request
}

// backend is the stand-in of an application backend beside a node. It stamps its answers, refuses what names another backend,
// and announces itself to the node beside it.
type backend struct {
	d       *deployment
	machine int
	service string
	id      string
	// serve answers a request. It reports false if the connection is to be closed.
	serve func(b *backend, a arrival, conn net.Conn) bool
	// begin is called when the header of a request is in, unless it is nil. It reports false if the backend has crashed.
	begin func(b *backend, a arrival) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	up       bool
	stopped  chan struct{}
	started  chan struct{}
}

func newBackend(d *deployment, machine int, service string, serve func(b *backend, a arrival, conn net.Conn) bool) *backend {
	return &backend{d: d, machine: machine, service: service, id: fmt.Sprintf("i-%d", machine), serve: serve, stopped: make(chan struct{}), started: make(chan struct{}, 1)}
}

// start begins a new boot.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.d.addr(b.machine, portApp))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.conns, b.born, b.seq, b.up = listener, map[net.Conn]bool{}, time.Now().UnixMilli(), 0, true
	b.mu.Unlock()
	go b.accept(listener)
	b.beat()
	return nil
}

// crash ends the boot without a word: the port is closed, and the connections are reset. It reports false if it has ended before.
func (b *backend) crash() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return false
	}
	b.up = false
	_ = b.listener.Close()
	for conn := range b.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	return true
}

// announceLoop sends pings while the backend is up.
func (b *backend) announceLoop() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.stopped:
			return
		case <-ticker.C:
			b.beat()
		}
	}
}

func (b *backend) beat() {
	b.mu.Lock()
	if !b.up {
		b.mu.Unlock()
		return
	}
	b.seq++
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftS":0,"Seq":%d,"born":%d}`,
		b.service, b.d.addr(b.machine, portApp), zoneOf(b.machine), slots, b.seq, b.born)
	b.mu.Unlock()
	b.d.request("PUT", "http://"+b.d.addr(b.machine, portControl)+"/-/instances/"+b.id, body, "Content-Type", "application/json")
}

func (b *backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if !b.up {
			b.mu.Unlock()
			_ = conn.Close()
			return
		}
		b.conns[conn] = true
		b.mu.Unlock()
		go func() {
			b.serveConn(conn)
			_ = conn.Close()
			b.mu.Lock()
			delete(b.conns, conn)
			b.mu.Unlock()
		}()
	}
}

func (b *backend) serveConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a := arrival{server: b.id, id: r.Header.Get("X-Attempt-Id"), at: time.Now(), path: r.URL.Path, request: r}
		if b.begin != nil && !b.begin(b, a) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a.body = string(body)
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", a.id, b.id)
			continue
		}
		if !b.serve(b, a, conn) {
			return
		}
	}
}

// answer writes a whole answer.
func (b *backend) answer(conn net.Conn, a arrival, body []byte) bool {
	_, err := conn.Write(append(b.head(a, len(body)), body...))
	return err == nil
}

func (b *backend) head(a arrival, length int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n", a.id, b.id, length)
}
