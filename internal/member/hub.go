package member

import (
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Hub shares a Table between goroutines and wakes the readers that wait for a change.
type Hub struct {
	source string

	mu      sync.Mutex
	table   *Table
	changed chan struct{}
}

// NewHub returns a hub with an empty table. The source names this process's table: sequence numbers of
// different sources cannot be compared.
func NewHub(source string) *Hub {
	return &Hub{source: source, table: NewTable(), changed: make(chan struct{})}
}

// Renew extends leases.
func (h *Hub) Renew(request *apiv1.RenewRequest, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Renew(request, now) {
		h.wake()
	}
}

// Expire ends the leases that have run out.
func (h *Hub) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Expire(now) {
		h.wake()
	}
}

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change. Take the channel before reading.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Since returns what changed after a position, nil when nothing did. A position of another source gets a full
// update.
func (h *Hub) Since(source string, seq uint64) *apiv1.MembersUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := source == h.source
	if same && seq == h.table.Seq() {
		return nil
	}
	update := h.table.Since(seq, !same)
	update.Source = h.source
	return update
}

// Members lists the nodes and backend servers that hold a lease.
func (h *Hub) Members() *apiv1.ListMembersResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &apiv1.ListMembersResponse{Nodes: h.table.Nodes(), Servers: h.table.Servers()}
}
