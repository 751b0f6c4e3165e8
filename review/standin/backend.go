package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that reached a backend and ran there.
type arrival struct {
	at      time.Time
	backend string
	boot    string
	method  string
	path    string
	attempt string
}

// backend is the backend of a sidecar machine. It registers at the Control address of its machine.
type backend struct {
	world   *world
	machine *machine
	zone    string
	// answer writes the answer to a request that runs. It reports whether the backend crashes instead.
	answer func(b *backend, w http.ResponseWriter, r *http.Request) (crash bool)

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	boots    int
	state    string
	server   *http.Server
	pinging  bool
	arrivals *arrivals
	running  atomic.Int64
}

// arrivals lists what all backends ran.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

// has reports whether a backend began to run a requester attempt.
func (a *arrivals) has(attempt string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.list {
		if one.attempt == attempt {
			return true
		}
	}
	return false
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// newBackend starts the backend of a machine and its pings.
func newBackend(m *machine, list *arrivals, answer func(b *backend, w http.ResponseWriter, r *http.Request) bool) *backend {
	b := &backend{world: m.world, machine: m, zone: m.zone, arrivals: list, answer: answer}
	b.boot()
	go b.pingLoop()
	return b
}

// boot starts the backend anew, with a new Id.
func (b *backend) boot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boots++
	b.id = fmt.Sprintf("i-%s-%d", b.machine.name, b.boots)
	b.born, b.seq, b.state = time.Now().UnixMilli(), 0, "ready"
	listener, err := net.Listen("tcp", b.machine.addr("App"))
	if err != nil {
		b.world.fail("%v", err)
	}
	id := b.id
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(id, w, r) }), IdleTimeout: 10 * time.Second}
	b.pinging = true
	go func(server *http.Server) { _ = server.Serve(listener) }(b.server)
}

// crash ends the backend at once; it is back after a time, as a new boot. All its connections break.
func (b *backend) crash(back time.Duration) {
	b.mu.Lock()
	server := b.server
	b.pinging = false
	b.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(back, b.boot)
}

// end ends the backend for good.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pinging = false
	_ = b.server.Close()
}

func (b *backend) serve(id string, w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		header.Set("X-Attempt-Id", attempt)
	}
	refuse := func(status int) {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	target := r.Header.Get("X-Target-Instance")
	switch {
	case attempt == "":
		refuse(http.StatusBadRequest)
		return
	case target != "" && target != id:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if running := b.running.Add(1); running > slots {
		b.running.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.arrivals.add(arrival{time.Now(), b.machine.name, id, r.Method, r.URL.Path, attempt})
	header.Set("X-Server-Stamp", "stamp."+id+"."+attempt)
	header.Set("X-Backend-Load", fmt.Sprintf("%d,0,%d", b.running.Load(), slots))
	header.Set("Content-Type", "application/octet-stream")
	if b.answer(b, w, r) {
		b.world.logf("run %s at %s of %s: the backend crashes", r.URL.Path, id, b.machine.name)
		b.crash(2 * time.Second)
		panic(http.ErrAbortHandler)
	}
}

// pingLoop sends pings until the case ends.
func (b *backend) pingLoop() {
	for {
		b.mu.Lock()
		pinging := b.pinging
		b.mu.Unlock()
		if pinging {
			b.ping()
		}
		time.Sleep(heartbeatInterval)
	}
}

// ping sends the next ping and reports whether it was acknowledged.
func (b *backend) ping() bool {
	b.mu.Lock()
	b.seq++
	body, id := b.pingBody(b.seq, b.state), b.id
	b.mu.Unlock()
	return b.call(http.MethodPut, id, body) == http.StatusOK
}

// pingBody returns the body of a ping. mu must be held.
func (b *backend) pingBody(seq int, state string) string {
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdLeftS":0,"Seq":%d,"born":%d}`,
		b.machine.service, b.machine.addr("App"), b.zone, slots, state, seq, b.born)
}

// call sends a call of the backend to its machine's Control address and returns the status, 0 without an answer.
func (b *backend) call(method, id, body string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+b.machine.addr("Control")+"/-/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// writeBody writes an answer of a number of bytes.
func writeBody(w http.ResponseWriter, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = io.WriteString(w, strings.Repeat("x", size))
}
