package member

import (
	"strconv"
	"sync"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Hub shares a Table between goroutines. Readers see its changes in batches: those made before the last Flush.
type Hub struct {
	self   string
	source string

	mu      sync.Mutex
	table   *Table
	flushed chan struct{}
	// flushedSeq is the table's sequence number at the last Flush.
	flushedSeq uint64
	// changed is closed at the next change that did not come from another table.
	changed chan struct{}
	// changedSeq is the table's sync sequence number at the last merge, reconciliation or close of changed.
	changedSeq uint64
}

// NewHub returns a hub with the empty table of the process self. The incarnation identifies the start of the process.
// It is part of the source, because sequence numbers of different processes or starts cannot be compared.
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

// Source identifies the table that the sequence numbers of this hub refer to.
func (h *Hub) Source() string {
	return h.source
}

// Renew extends the leases of a request. When the renewal was not accepted, it sets in the response what the node has
// to do: announce a higher revision, or renew with complete records.
func (h *Hub) Renew(request *apiv1.RenewRequest, response *apiv1.RenewResponse, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.notifyChanged()
	response.LeaseMs = uint32(LeaseTime.Milliseconds())
	if request.Unchanged {
		response.WantWhole = !h.table.RenewUnchanged(request, now)
		return
	}
	response.RefutedRevision = h.table.Renew(request, now)
	response.Overruling = h.table.Overruling(request)
}

// Drains lists the records that must outlast the restart of a node; see Table.Drains.
func (h *Hub) Drains() []*apiv1.BackendServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Drains()
}

// DrainsOf lists what is known of the end of backend servers beside a node; see Table.DrainsOf. The records must not be modified.
func (h *Hub) DrainsOf(node string, instances []string) []*apiv1.BackendServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.DrainsOf(node, instances)
}

// StoreDrains takes over what records say of the end of backend servers; see Table.StoreDrain. It keeps and modifies the records.
func (h *Hub) StoreDrains(servers []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.notifyChanged()
	for _, server := range servers {
		h.table.StoreDrain(server, now)
	}
}

// Withdrawal returns the known withdrawal of a backend server beside a node, or a new one. The record must not be modified.
func (h *Hub) Withdrawal(instance, node string, now time.Time) *apiv1.BackendServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.table.withdrawals[withdrawalKey{instance, node}]; ok {
		return known.record
	}
	return NewWithdrawal(instance, node, now)
}

// Remember adds records that Drains listed before this process started; see Table.Remember.
func (h *Hub) Remember(drains []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Remember(drains, now)
	h.changedSeq = h.table.SyncSeq()
}

// Merge merges records of another table and records contact with the home that sent them; home may be empty.
func (h *Hub) Merge(home string, nodes []*apiv1.NodeInfo, servers []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if home != "" {
		h.table.RecordContact(home, now)
	}
	h.table.Merge(nodes, servers, now)
	h.changedSeq = h.table.SyncSeq()
}

// Reconcile ends leases that the full list of another table lacks; see Table.Reconcile.
func (h *Hub) Reconcile(servers []*apiv1.BackendServer, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Reconcile(servers, now)
	h.changedSeq = h.table.SyncSeq()
}

// Expire ends the leases of backend servers that are no longer announced and returns the nodes whose lease is overdue.
func (h *Hub) Expire(now time.Time) []*apiv1.NodeInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.notifyChanged()
	h.table.Expire(now)
	return h.table.OverdueNodes(now)
}

// ResolveOverdue extends the lease of an overdue node that was reached, and ends it otherwise.
func (h *Hub) ResolveOverdue(info *apiv1.NodeInfo, reached bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.notifyChanged()
	if reached {
		h.table.Extend(info, now)
		return
	}
	h.table.EndNode(info, now)
}

// notifyChanged closes the changed channel if the table has changed since changedSeq.
func (h *Hub) notifyChanged() {
	if h.changedSeq == h.table.SyncSeq() {
		return
	}
	h.changedSeq = h.table.SyncSeq()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change that did not come from another table. Get the channel
// before reading the changes, so that none is missed.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Flush makes the changes so far visible to readers.
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

// Flushed returns a channel that is closed at the next Flush that makes a change visible. Get the channel before
// reading, so that no change is missed.
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

// ChangesAt returns the changed records of one home; see Table.ChangesAt.
func (h *Hub) ChangesAt(home string, since uint64) Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.ChangesAt(home, since)
}

// ChangesFor returns the changed records that the process receiver needs; see Table.ChangesFor.
func (h *Hub) ChangesFor(receiver string, since uint64) Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.ChangesFor(receiver, since)
}

// HomeDigest returns a digest of the active leases of one home.
func (h *Hub) HomeDigest(home string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.HomeDigest(home)
}

// Members lists the nodes and backend servers that hold an active lease.
func (h *Hub) Members() *apiv1.ListMembersResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &apiv1.ListMembersResponse{Nodes: h.table.Nodes(), Servers: h.table.Servers()}
}
