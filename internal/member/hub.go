package member

import (
	"strconv"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Hub shares a Table between goroutines. Readers see its changes in batches: those up to the last Flush.
type Hub struct {
	self   string
	source string

	mu      sync.Mutex
	table   *Table
	flushed chan struct{}
	// flushedSeq is the table's sequence number at the last Flush.
	flushedSeq uint64
	// changed is closed at the next change that did not come from another table.
	changed    chan struct{}
	changedSeq uint64
}

// NewHub returns a hub with the empty table of a process. The incarnation is the start of the process: numbers of
// different processes and starts cannot be compared.
func NewHub(self string, incarnation uint64) *Hub {
	return &Hub{
		self:       self,
		source:     self + "/" + strconv.FormatUint(incarnation, 36),
		table:      NewTable(self),
		flushed:    make(chan struct{}),
		flushedSeq: 1,
		changed:    make(chan struct{}),
		changedSeq: 1,
	}
}

// Source names this table in sequence numbers.
func (h *Hub) Source() string {
	return h.source
}

// Renew extends leases and puts into the answer what the node has to do to be believed.
func (h *Hub) Renew(request *apiv1.RenewRequest, response *apiv1.RenewResponse, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.wake()
	response.LeaseMs = uint32(LeaseTime.Milliseconds())
	if request.Unchanged {
		response.WantWhole = !h.table.Keep(request, now)
		return
	}
	response.RefutedRevision = h.table.Renew(request, now)
}

// Merge takes in records of another table and notes that the home which sent them was heard.
func (h *Hub) Merge(home string, nodes []*apiv1.NodeInfo, servers []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if home != "" {
		h.table.Hear(home, now)
	}
	h.table.Merge(nodes, servers, now)
	h.changedSeq = h.table.SyncSeq()
}

// Reconcile drops what the complete list of another table lacks; see Table.Reconcile.
func (h *Hub) Reconcile(servers []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Reconcile(servers, now)
	h.changedSeq = h.table.SyncSeq()
}

// Expire ends the leases of backend servers that are no longer announced and returns the nodes that are overdue.
func (h *Hub) Expire(now time.Time) []*apiv1.NodeInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.wake()
	h.table.Expire(now)
	return h.table.OverdueNodes(now)
}

// ResolveOverdue ends the lease of an overdue node, or extends it when the node was reached.
func (h *Hub) ResolveOverdue(info *apiv1.NodeInfo, reached bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.wake()
	if reached {
		h.table.Extend(info, now)
		return
	}
	h.table.EndNode(info, now)
}

func (h *Hub) wake() {
	if h.changedSeq == h.table.SyncSeq() {
		return
	}
	h.changedSeq = h.table.SyncSeq()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change that other tables do not know of. Take the channel
// before reading.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Flush shows the changes so far to the readers.
func (h *Hub) Flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flushedSeq == h.table.Seq() {
		return
	}
	h.flushedSeq = h.table.Seq()
	close(h.flushed)
	h.flushed = make(chan struct{})
}

// Flushed returns a channel that is closed at the next Flush that shows a change. Take the channel before reading.
func (h *Hub) Flushed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flushed
}

// FlushedSeq returns the sequence number at the last Flush.
func (h *Hub) FlushedSeq() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flushedSeq
}

// Since returns the backend servers that changed after a sequence number; see Table.Since.
func (h *Hub) Since(seq uint64, services map[string]bool) *apiv1.MembersUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	update := h.table.Since(seq, services)
	update.Source = h.source
	return update
}

// Changes returns the records of one home, or of all, that changed after a sync number, with the present one.
func (h *Hub) Changes(since uint64, home string) Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodes, servers, full := h.table.Changes(since, home)
	return Changes{Nodes: nodes, Servers: servers, Full: full, Seq: h.table.SyncSeq()}
}

// HomeDigest returns a digest of the running leases at one home.
func (h *Hub) HomeDigest(home string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.HomeDigest(home)
}

// Members lists the nodes and backend servers that hold a lease.
func (h *Hub) Members() *apiv1.ListMembersResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &apiv1.ListMembersResponse{Nodes: h.table.Nodes(), Servers: h.table.Servers()}
}
