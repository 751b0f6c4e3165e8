package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const (
	// LeaseTime is the time for which a renewal keeps the lease of a node and of its backend server.
	LeaseTime = 5 * time.Second
	// HomeTimeout is the time without contact with a home after which its leases can become overdue.
	HomeTimeout = 8 * time.Second
	// tombstoneRetention is the time for which an ended lease is kept as a tombstone, so that an older record that arrives
	// late does not restore the instance.
	tombstoneRetention = 2 * time.Hour
)

// Table holds the leases of the nodes and backend servers that one process knows. It is not safe for concurrent use.
//
// Each lease has a home: the process at which its node renews it. Tables that have merged the same records are equal,
// whatever the order: of two records of an instance, the one with the higher incarnation wins, then the one that says that a
// backend server leaves or has the newer order to drain it, then the one with the higher revision, and the end of a lease wins
// over an active lease of the same revision. A node that was wrongly declared gone refutes that by announcing a higher
// revision.
//
// Invariant: seq increases with every change that is visible to readers, and syncSeq with every change. Each lease
// carries both numbers of its last change, so a reader at position s needs only the leases whose number is above s.
type Table struct {
	self     string
	counters *counters
	nodes    *leaseSet[*apiv1.NodeInfo]
	servers  *leaseSet[*apiv1.BackendServer]
	// byAddr maps each address to the instance that holds it.
	byAddr map[string]string
	// withdrawals holds backend servers that leave by their name alone. Records of their starts are taken for leaving ones.
	withdrawals withdrawalSet
	// storedDrains holds the backend servers of whose end this process has a record on its disk for their node. It hands these
	// records on like those of its own leases: the home of their leases may fail before it does.
	storedDrains map[string]bool
	// lastContact holds the time of the last contact with each other home.
	lastContact map[string]time.Time
}

// NewTable returns the empty table of the process self.
func NewTable(self string) *Table {
	c := &counters{seq: 1, syncSeq: 1}
	return &Table{
		self:        self,
		counters:    c,
		nodes:       newLeaseSet(self, c, nodeKind),
		servers:     newLeaseSet(self, c, serverKind),
		byAddr:      map[string]string{},
		withdrawals: withdrawalSet{},

		storedDrains: map[string]bool{},
		lastContact:  map[string]time.Time{},
	}
}

// Seq returns the sequence number of the last change that is visible to readers.
func (t *Table) Seq() uint64 {
	return t.counters.seq
}

// SyncSeq returns the sequence number of the last change; tables exchange changes by it.
func (t *Table) SyncSeq() uint64 {
	return t.counters.syncSeq
}

// Renew extends the leases named by a node's request and makes this process their home. It returns the revision that
// the node must exceed before its renewal is accepted, or 0 when nothing is left to do; see also Overruling. It keeps and
// modifies the records of the request.
func (t *Table) Renew(request *apiv1.RenewRequest, now time.Time) uint64 {
	var mustExceed uint64
	if info := request.Node; info != nil {
		info.Home = t.self
		info.Gone = request.Leaving
		mustExceed = t.nodes.renew(info, now)
	}
	for _, server := range request.Servers {
		server.Home = t.self
		if IsWithdrawal(server) {
			t.withdraw(server, true, now)
			continue
		}
		if request.Leaving {
			server.State = apiv1.ServerState_SERVER_STATE_GONE
		}
		mustExceed = max(mustExceed, t.servers.renew(t.asWithdrawn(server, now), now))
		t.resolveAddrConflict(server.Instance, now)
	}
	for _, instance := range request.LeavingServers {
		if announces(request, instance) {
			// That is the next start under this name.
			continue
		}
		if known := t.servers.leases[instance]; known != nil && known.record.Node == request.Node.GetInstance() && !known.record.Leaving {
			t.servers.put(LeavingRecord(known.record), now)
		}
	}
	return mustExceed
}

// announces reports whether a renewal announces a backend server that does not leave.
func announces(request *apiv1.RenewRequest, instance string) bool {
	return slices.ContainsFunc(request.Servers, func(server *apiv1.BackendServer) bool { return server.Instance == instance && !server.Leaving })
}

// withdraw stores a withdrawal, and marks the start that the table knows as leaving. A start that is announced later is marked then.
// With handOn, this process hands it on to all others.
func (t *Table) withdraw(record *apiv1.BackendServer, handOn bool, now time.Time) {
	if !t.withdrawals.add(record, handOn, t.counters.syncSeq+1, now) {
		return
	}
	t.counters.syncSeq++
	if known := t.servers.leases[record.Instance]; known != nil && !known.record.Leaving && t.withdrawals.covers(known.record, now) {
		t.servers.put(LeavingRecord(known.record), now)
	}
}

// asWithdrawn returns a record as that of a leaving backend server if its start has been withdrawn, and otherwise unchanged.
func (t *Table) asWithdrawn(server *apiv1.BackendServer, now time.Time) *apiv1.BackendServer {
	if server.Leaving || !t.withdrawals.covers(server, now) {
		return server
	}
	return LeavingRecord(server)
}

// StoreDrain takes over what a record says of the end of a backend server or of the orders to drain it. It renews no lease: a start
// of which the table knows nothing is stored as an ended one, until its node announces it here or elsewhere.
func (t *Table) StoreDrain(server *apiv1.BackendServer, now time.Time) {
	if IsWithdrawal(server) {
		if !t.withdrawals.has(server) {
			// The clock of the node may be behind.
			server.StartedUnixMs = max(server.StartedUnixMs, now.UnixMilli())
			t.withdraw(server, true, now)
		}
		return
	}
	known := t.servers.leases[server.Instance]
	if known == nil || known.record.Incarnation < server.Incarnation {
		t.Remember([]*apiv1.BackendServer{server}, now)
		return
	}
	if known.record.Incarnation != server.Incarnation {
		return
	}
	t.storedDrains[server.Instance] = true
	if drainPrecedence(server, known.record) <= 0 {
		return
	}
	next := proto.Clone(server).(*apiv1.BackendServer)
	next.Home, next.Revision = known.record.Home, known.record.Revision
	if known.gone {
		next = serverKind.end(next)
	}
	t.servers.put(next, now)
}

// Overruling lists the records that are kept in place of those of a renewal, and those of its leaving backend servers.
func (t *Table) Overruling(request *apiv1.RenewRequest) []*apiv1.BackendServer {
	var list []*apiv1.BackendServer
	for _, server := range request.Servers {
		if known := t.servers.overruling(server); known != nil {
			list = append(list, known.record)
		}
	}
	for _, instance := range request.LeavingServers {
		if known := t.servers.leases[instance]; known != nil && known.record.Leaving {
			list = append(list, known.record)
		}
	}
	return list
}

// LeavingRecord returns a copy of a record that says that the backend server leaves.
func LeavingRecord(server *apiv1.BackendServer) *apiv1.BackendServer {
	leaving := proto.Clone(server).(*apiv1.BackendServer)
	leaving.Leaving = true
	if leaving.State != apiv1.ServerState_SERVER_STATE_GONE {
		leaving.State = apiv1.ServerState_SERVER_STATE_DRAINING
	}
	return leaving
}

// Drains lists the records that say that a backend server leaves, or that carry an order to drain it or to undo that, in the order of
// their last change. Those of ended leases and withdrawals are included.
func (t *Table) Drains() []*apiv1.BackendServer {
	type drain struct {
		record  *apiv1.BackendServer
		syncSeq uint64
	}
	var drains []drain
	for _, l := range t.servers.leases {
		if CarriesDrain(l.record) {
			drains = append(drains, drain{l.record, l.syncSeq})
		}
	}
	for _, known := range t.withdrawals {
		drains = append(drains, drain{known.record, known.syncSeq})
	}
	slices.SortFunc(drains, func(a, b drain) int { return cmp.Compare(a.syncSeq, b.syncSeq) })
	list := make([]*apiv1.BackendServer, len(drains))
	for i, d := range drains {
		list[i] = d.record
	}
	return list
}

// DrainsOf lists those records of Drains that concern backend servers beside a node.
func (t *Table) DrainsOf(node string, instances []string) []*apiv1.BackendServer {
	var list []*apiv1.BackendServer
	for _, instance := range instances {
		if known := t.servers.leases[instance]; known != nil && known.record.Node == node && CarriesDrain(known.record) {
			list = append(list, known.record)
		}
		if known, ok := t.withdrawals[withdrawalKey{instance, node}]; ok {
			list = append(list, known.record)
		}
	}
	return list
}

// CarriesDrain reports whether a record says that the backend server leaves, or carries an order to drain it or to undo that.
func CarriesDrain(server *apiv1.BackendServer) bool {
	return server.Leaving || server.DrainOrder > 0
}

// Remember adds records that Drains listed before this process started, as ended leases. Their revision is the lowest, so that
// an active lease with the same state wins. They are handed on like those of StoreDrain: the others may have lost them.
func (t *Table) Remember(drains []*apiv1.BackendServer, now time.Time) {
	for _, server := range drains {
		if IsWithdrawal(server) {
			t.withdraw(server, true, now)
			continue
		}
		t.storedDrains[server.Instance] = true
		ended := serverKind.end(server)
		ended.Revision = 0
		t.servers.merge(ended, now)
	}
}

// RenewUnchanged extends the leases of a node whose records have not changed since its last renewal. It reports false
// when they are not known here; the node must then renew with complete records.
func (t *Table) RenewUnchanged(request *apiv1.RenewRequest, now time.Time) bool {
	info := request.Node
	known := t.nodes.leases[info.GetInstance()]
	if known == nil || known.record.Incarnation != info.Incarnation || known.record.Revision != info.Revision {
		return false
	}
	kept := t.nodes.renewUnchanged(info.Instance, now)
	for _, instance := range request.UnchangedServers {
		kept = t.servers.renewUnchanged(instance, now) && kept
	}
	return kept
}

// Merge merges records of another table.
func (t *Table) Merge(nodes []*apiv1.NodeInfo, servers []*apiv1.BackendServer, now time.Time) {
	for _, info := range nodes {
		t.nodes.merge(info, now)
	}
	for _, server := range servers {
		if IsWithdrawal(server) {
			t.withdraw(server, false, now)
			continue
		}
		if t.servers.merge(t.asWithdrawn(server, now), now) {
			t.resolveAddrConflict(server.Instance, now)
		}
	}
}

// Reconcile ends the leases of backend servers that the full list of another table lacks, apart from those whose home
// is this process or is in contact with it. The other table may have purged their tombstones while this one was
// partitioned, and then no change reports their end.
func (t *Table) Reconcile(servers []*apiv1.BackendServer, now time.Time) {
	servers = slices.DeleteFunc(slices.Clone(servers), IsWithdrawal)
	t.servers.reconcile(servers, now, func(home string) bool {
		contact, ok := t.lastContact[home]
		return ok && now.Sub(contact) <= HomeTimeout
	})
}

// resolveAddrConflict keeps one active lease per address, that of the backend server which started last. Otherwise calls
// could reach the wrong service at an address that another instance has reused.
func (t *Table) resolveAddrConflict(instance string, now time.Time) {
	l := t.servers.leases[instance]
	if l == nil || l.gone || l.record.Addr == "" {
		return
	}
	addr := l.record.Addr
	other := t.servers.leases[t.byAddr[addr]]
	if other == nil || other == l || other.gone || other.record.Addr != addr {
		t.byAddr[addr] = instance
		return
	}
	if startedBefore(l.record, other.record) {
		t.servers.end(l.record, now)
		return
	}
	t.servers.end(other.record, now)
	t.byAddr[addr] = instance
}

func startedBefore(a, b *apiv1.BackendServer) bool {
	if a.StartedUnixMs != b.StartedUnixMs {
		return a.StartedUnixMs < b.StartedUnixMs
	}
	return a.Instance < b.Instance
}

// RecordContact records contact with a home, which confirms that the home still renews its leases.
func (t *Table) RecordContact(home string, now time.Time) {
	if home != t.self {
		t.lastContact[home] = now
	}
}

// OverdueNodes lists the nodes whose lease has run out: those whose home is this process and that did not renew, and
// those of a home with which contact was lost. They may have crashed, be slow or be partitioned.
func (t *Table) OverdueNodes(now time.Time) []*apiv1.NodeInfo {
	return t.nodes.overdue(now, func(home string) bool { return t.contactLost(home, now) })
}

// contactLost reports whether there has been contact with a home, but none within HomeTimeout.
func (t *Table) contactLost(home string, now time.Time) bool {
	contact, ok := t.lastContact[home]
	return ok && now.Sub(contact) > HomeTimeout
}

// Extend extends the leases of a node that answered a probe, and of its backend servers, by one lease time.
func (t *Table) Extend(info *apiv1.NodeInfo, now time.Time) {
	t.nodes.extend(info.Instance, now)
	for _, server := range t.servers.active() {
		if server.Node == info.Instance {
			t.servers.extend(server.Instance, now)
		}
	}
}

// EndNode ends the leases of a node and of its backend servers, unless the node's record has changed since the given
// one.
func (t *Table) EndNode(info *apiv1.NodeInfo, now time.Time) {
	if !t.nodes.end(info, now) {
		return
	}
	for _, server := range t.servers.active() {
		if server.Node == info.Instance {
			t.servers.end(server, now)
		}
	}
}

// Expire ends the overdue leases of backend servers that their nodes no longer announce, and purges expired tombstones.
// A backend server whose node is overdue too keeps its lease until it is known whether the node is gone.
func (t *Table) Expire(now time.Time) {
	never := func(string) bool { return false }
	for _, server := range t.servers.overdue(now, never) {
		if node := t.nodes.leases[server.Node]; node == nil || node.gone || now.Before(node.expires) {
			t.servers.end(server, now)
		}
	}
	t.nodes.purge(now)
	t.servers.purge(now)
	t.withdrawals.purge(now)
	maps.DeleteFunc(t.storedDrains, func(instance string, _ bool) bool { return t.servers.leases[instance] == nil })
}

// Since returns the backend servers that changed after a sequence number. The update is full when seq is 0, lower than
// that of a purged tombstone, or higher than any of this table. With services, it holds only their backend servers.
func (t *Table) Since(seq uint64, services map[string]bool) *apiv1.MembersUpdate {
	full := seq == 0 || seq > t.counters.seq || seq < t.counters.purgedSeq
	update := &apiv1.MembersUpdate{Seq: t.counters.seq, Full: full}
	for _, instance := range slices.Sorted(maps.Keys(t.servers.leases)) {
		l := t.servers.leases[instance]
		wanted := !l.gone && (services == nil || services[l.record.Service])
		switch {
		case !full && l.seq <= seq:
		case wanted:
			update.Servers = append(update.Servers, readerView(l.record))
		case !full:
			update.Removed = append(update.Removed, instance)
		}
	}
	return update
}

// ChangesAt returns the records of one home that changed after a sync sequence number, and those of StoreDrain. The lists are full
// when since is 0, lower than that of a purged tombstone, or higher than any of this table.
func (t *Table) ChangesAt(home string, since uint64) Changes {
	since = t.knownPosition(since)
	withdrawn := t.withdrawals.changed(since, func(w withdrawal) bool { return w.handedOn })
	return Changes{
		Nodes: t.nodes.changedAt(home, since), Servers: append(t.serversToHandOn(home, since), withdrawn...), Full: since == 0, Seq: t.counters.syncSeq,
	}
}

// serversToHandOn lists the records of one home and those of StoreDrain that changed after a sync sequence number.
func (t *Table) serversToHandOn(home string, since uint64) []*apiv1.BackendServer {
	return t.servers.changed(since, func(l *lease[*apiv1.BackendServer]) bool {
		return l.record.Home == home || t.storedDrains[l.record.Instance] && CarriesDrain(l.record)
	})
}

// ChangesFor returns the records of all homes that changed after a sync sequence number, without the active leases whose home is the
// receiver. The lists are full in the same cases as those of ChangesAt. A full list has the receiver's own records of drains too: it
// may have lost them with its disk.
func (t *Table) ChangesFor(receiver string, since uint64) Changes {
	since = t.knownPosition(since)
	servers := t.servers.changed(since, func(l *lease[*apiv1.BackendServer]) bool {
		return l.gone || l.record.Home != receiver || since == 0 && CarriesDrain(l.record)
	})
	withdrawn := t.withdrawals.changed(since, func(withdrawal) bool { return true })
	return Changes{Nodes: t.nodes.changedFor(receiver, since), Servers: append(servers, withdrawn...), Full: since == 0, Seq: t.counters.syncSeq}
}

// knownPosition returns a sync sequence number if this table can tell what changed after it, and otherwise 0.
func (t *Table) knownPosition(since uint64) uint64 {
	if since > t.counters.syncSeq || since < t.counters.purgedSyncSeq {
		return 0
	}
	return since
}

// HomeDigest returns a digest of the active leases of one home. Tables that agree on these leases have the same digest.
func (t *Table) HomeDigest(home string) uint64 {
	return digestHome(t.nodes, home) + digestHome(t.servers, home)
}

// Nodes lists the nodes that hold an active lease, in order of instance name, with the time of their last renewal. For
// nodes of another home it is the time of the last contact with that home, since this table does not see the renewals.
func (t *Table) Nodes() []*apiv1.NodeInfo {
	list := t.nodes.active()
	for i, info := range list {
		list[i] = proto.Clone(info).(*apiv1.NodeInfo)
		if info.Home == t.self {
			list[i].LastRenewedUnixMs = t.nodes.leases[info.Instance].expires.Add(-LeaseTime).UnixMilli()
		} else if contact, ok := t.lastContact[info.Home]; ok {
			list[i].LastRenewedUnixMs = contact.UnixMilli()
		}
	}
	return list
}

// Servers lists the backend servers that hold an active lease, in order of instance name.
func (t *Table) Servers() []*apiv1.BackendServer {
	return t.servers.active()
}
