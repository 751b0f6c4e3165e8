package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backendSlots is the number of requests that a backend works on at a time.
const backendSlots = 9

// heartbeatInterval is HeartbeatIntervalS of the settings.
const heartbeatInterval = 870 * time.Millisecond

// Run is one request that a backend ran.
type Run struct {
	ID      string
	Backend string
	At      time.Time
	Method  string
	Path    string
}

// Backend is a stand-in for the backend beside a node.
type Backend struct {
	machine *Machine
	ID      string
	Version string
	born    int64
	server  *http.Server
	work    time.Duration

	// crashes reports whether the backend crashes as it begins to run a request, given the beginning of its body; nil for
	// never. onCrash is called once then.
	crashes func(r *http.Request, start string) bool
	onCrash func()

	mu      sync.Mutex
	crashed bool
	seq     int
	runs    []Run
	stop    chan struct{}
}

// NewBackend returns a backend that has just started.
func NewBackend(m *Machine, id string, work time.Duration) *Backend {
	return &Backend{machine: m, ID: id, Version: "v1", born: time.Now().UnixMilli(), work: work, stop: make(chan struct{})}
}

// Serve serves the backend's address.
func (b *Backend) Serve() error {
	listener, err := net.Listen("tcp", b.machine.Addr(portApp))
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle)}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

// Exit closes the backend's address.
func (b *Backend) Exit() { _ = b.server.Close() }

func (b *Backend) handle(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	start := make([]byte, len(poisonMark))
	n, _ := io.ReadFull(r.Body, start)
	crashes := b.crashes != nil && b.crashes(r, string(start[:n]))
	run := Run{ID: id, Backend: b.ID, At: time.Now(), Method: r.Method, Path: r.URL.Path}
	b.mu.Lock()
	first := crashes && !b.crashed
	b.crashed = b.crashed || crashes
	if b.crashed && !first {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	b.machine.deployment.record.Note("run      %s %s %s for %s at %s, beside %s", id, r.Method, r.URL.Path, r.Header.Get("X-Caller-Service"), b.ID, b.machine.Name)
	if crashes {
		b.machine.deployment.record.Note("crash    of %s by %s", b.ID, id)
		// Closes the address and all connections, as the end of a process does.
		b.Exit()
		b.onCrash()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.machine.deployment.record.Note("dropped  %s at %s, its connection is closed", id, b.ID)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(b.work)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+b.ID+"."+id)
	fmt.Fprintf(w, "%s ran %s\n", b.ID, id)
}

// Runs returns what the backend has run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Ping is a heartbeat, numbered when it is made. It may be sent later.
type Ping struct {
	backend *Backend
	seq     int
	made    time.Time
	body    []byte
}

// NewPing makes the next heartbeat.
func (b *Backend) NewPing(state string) *Ping {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"Service": b.machine.Service, "Address": b.machine.Addr(portApp), "Zone": b.machine.Zone, "Version": b.Version,
		"Slots": backendSlots, "State": state, "ColdLeftS": 0, "Seq": seq, "born": b.born,
	})
	return &Ping{backend: b, seq: seq, made: time.Now(), body: body}
}

// Send sends the heartbeat to the node beside the backend and returns the status, 0 without an answer.
func (p *Ping) Send() int {
	return p.backend.call(http.MethodPut, p.body, fmt.Sprintf("ping %d, made %.2f s ago", p.seq, time.Since(p.made).Seconds()))
}

// Leave sends the announcement that the backend leaves.
func (b *Backend) Leave() int { return b.call(http.MethodDelete, nil, "DELETE") }

func (b *Backend) call(method string, body []byte, what string) int {
	request, err := http.NewRequest(method, "http://"+b.machine.Addr(portAnnounce)+"/-/instances/"+b.ID, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		b.machine.deployment.record.Note("%s of %s: no answer (%v)", what, b.ID, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if method == http.MethodDelete || response.StatusCode != http.StatusOK || time.Since(b.machine.deployment.record.start) < 3*time.Second {
		b.machine.deployment.record.Note("%s of %s: %d", what, b.ID, response.StatusCode)
	}
	return response.StatusCode
}

// Beat sends heartbeats until StopBeat.
func (b *Backend) Beat() {
	go func() {
		for {
			go b.NewPing("ready").Send()
			select {
			case <-b.stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// StopBeat ends Beat.
func (b *Backend) StopBeat() { close(b.stop) }
