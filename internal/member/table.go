package member

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

const (
	// LeaseTime is the time for which a node and its backend server count as present after a renewal.
	LeaseTime = 5 * time.Second
	// HomeTime is the time after which the leases at home at a silent process are in doubt.
	HomeTime = 8 * time.Second
	// goneMemory is the time for which the end of a lease is remembered, so that an older word does not bring the
	// instance back.
	goneMemory = 2 * time.Hour
)

// Table is the set of leased nodes and backend servers that one process knows. It is owned by one goroutine or
// guarded by its owner.
//
// Each lease has a home: the process that its node renews it at. Tables that have merged the same records are the
// same, in whatever order they came: of two records about an instance the one of the higher incarnation and revision
// stays, and an ended lease wins over a running one of the same revision. A node that was taken for gone by mistake
// announces a higher revision.
//
// Invariant: seq grows with every change that readers can see and syncSeq with every change; each lease carries both
// numbers of its last change, so that a reader that has all up to s needs only the leases above s.
type Table struct {
	self     string
	counters *counters
	nodes    *leaseSet[*apiv1.NodeInfo]
	servers  *leaseSet[*apiv1.BackendServer]
	// byAddr holds the instance of the running lease of each address.
	byAddr map[string]string
	// homes holds the time at which each other home was last heard.
	homes map[string]time.Time
}

// NewTable returns the empty table of a process.
func NewTable(self string) *Table {
	c := &counters{seq: 1, syncSeq: 1}
	return &Table{
		self:     self,
		counters: c,
		nodes:    newLeaseSet(self, c, nodeKind),
		servers:  newLeaseSet(self, c, serverKind),
		byAddr:   map[string]string{},
		homes:    map[string]time.Time{},
	}
}

// Seq returns the number of the last change that readers can see.
func (t *Table) Seq() uint64 {
	return t.counters.seq
}

// SyncSeq returns the number of the last change.
func (t *Table) SyncSeq() uint64 {
	return t.counters.syncSeq
}

// Renew extends the leases named by a node's request and makes this process their home. It returns the revision
// that the node must exceed to be believed, 0 when it is believed. The records of the request are kept.
func (t *Table) Renew(request *apiv1.RenewRequest, now time.Time) uint64 {
	var exceed uint64
	if info := request.Node; info != nil {
		info.Home = t.self
		info.Gone = request.Leaving
		exceed = t.nodes.renew(info, now)
	}
	for _, server := range request.Servers {
		server.Home = t.self
		if request.Leaving {
			server.State = apiv1.ServerState_SERVER_STATE_GONE
		}
		exceed = max(exceed, t.servers.renew(server, now))
		t.claimAddr(server.Instance, now)
	}
	return exceed
}

// Keep extends the leases of a node whose last word still holds. It reports whether that word is known here; if not,
// the node has to renew with whole records.
func (t *Table) Keep(request *apiv1.RenewRequest, now time.Time) bool {
	info := request.Node
	known := t.nodes.leases[info.GetInstance()]
	if known == nil || known.record.Incarnation != info.Incarnation || known.record.Revision != info.Revision {
		return false
	}
	kept := t.nodes.keep(info.Instance, now)
	for _, instance := range request.UnchangedServers {
		kept = t.servers.keep(instance, now) && kept
	}
	return kept
}

// Merge takes in records of another table.
func (t *Table) Merge(nodes []*apiv1.NodeInfo, servers []*apiv1.BackendServer, now time.Time) {
	for _, info := range nodes {
		t.nodes.merge(info, now)
	}
	for _, server := range servers {
		if t.servers.merge(server, now) {
			t.claimAddr(server.Instance, now)
		}
	}
}

// Reconcile drops the backend servers that the complete list of another table lacks, apart from those whose home is
// heard here: their ends may have been forgotten while this table was cut off.
func (t *Table) Reconcile(servers []*apiv1.BackendServer, now time.Time) {
	t.servers.reconcile(servers, now, func(home string) bool {
		heard, ok := t.homes[home]
		return ok && now.Sub(heard) <= HomeTime
	})
}

// claimAddr keeps one running lease for an address: that of the backend server which started last. An address that
// another instance took over thus leads no calls to the wrong service.
func (t *Table) claimAddr(instance string, now time.Time) {
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

// Hear notes that a home vouches for its leases.
func (t *Table) Hear(home string, now time.Time) {
	if home != t.self {
		t.homes[home] = now
	}
}

// OverdueNodes lists the nodes whose lease has run out: nodes at home here that did not renew, and nodes whose home
// was heard once and is silent. They may be dead, slow or cut off.
func (t *Table) OverdueNodes(now time.Time) []*apiv1.NodeInfo {
	return t.nodes.overdue(now, func(home string) bool { return t.silent(home, now) })
}

func (t *Table) silent(home string, now time.Time) bool {
	heard, ok := t.homes[home]
	return ok && now.Sub(heard) > HomeTime
}

// Extend keeps a node that was reached by other means, and its backend servers, for one more lease time.
func (t *Table) Extend(info *apiv1.NodeInfo, now time.Time) {
	t.nodes.extend(info.Instance, now)
	for _, server := range t.servers.live() {
		if server.Node == info.Instance {
			t.servers.extend(server.Instance, now)
		}
	}
}

// EndNode ends the lease of a node and of the backend servers beside it, unless there was word of the node since the
// given record.
func (t *Table) EndNode(info *apiv1.NodeInfo, now time.Time) {
	if !t.nodes.end(info, now) {
		return
	}
	for _, server := range t.servers.live() {
		if server.Node == info.Instance {
			t.servers.end(server, now)
		}
	}
}

// Expire ends the leases of backend servers that their nodes, which go on renewing, do not announce any more, and
// forgets what ended long ago.
func (t *Table) Expire(now time.Time) {
	never := func(string) bool { return false }
	for _, server := range t.servers.overdue(now, never) {
		if node := t.nodes.leases[server.Node]; node == nil || node.gone || now.Before(node.expires) {
			t.servers.end(server, now)
		}
	}
	t.nodes.forget(now)
	t.servers.forget(now)
}

// Since returns the backend servers that changed after a sequence number. The list is complete when seq is 0 or too
// old. With services, it holds only their backend servers.
func (t *Table) Since(seq uint64, services map[string]bool) *apiv1.MembersUpdate {
	full := seq == 0 || seq > t.counters.seq || seq < t.counters.forgotten
	update := &apiv1.MembersUpdate{Seq: t.counters.seq, Full: full}
	for _, instance := range slices.Sorted(maps.Keys(t.servers.leases)) {
		l := t.servers.leases[instance]
		wanted := !l.gone && (services == nil || services[l.record.Service])
		switch {
		case !full && l.seq <= seq:
		case wanted:
			update.Servers = append(update.Servers, forReaders(l.record))
		case !full:
			update.Removed = append(update.Removed, instance)
		}
	}
	return update
}

// Changes returns the records that changed after a sync number, of one home or, when home is empty, of all. The
// list is complete when since is 0 or too old.
func (t *Table) Changes(since uint64, home string) (nodes []*apiv1.NodeInfo, servers []*apiv1.BackendServer, full bool) {
	if since > t.counters.syncSeq || since < t.counters.syncForgotten {
		since = 0
	}
	return t.nodes.changed(since, home), t.servers.changed(since, home), since == 0
}

// HomeDigest returns a digest of the running leases at one home. Tables that agree on them have the same digest.
func (t *Table) HomeDigest(home string) uint64 {
	return digestHome(t.nodes, home) + digestHome(t.servers, home)
}

// Nodes lists the nodes that hold a lease, by instance name, with the time of their last renewal. A home vouches for
// its nodes: for those of another home it is the time at which that was last heard.
func (t *Table) Nodes() []*apiv1.NodeInfo {
	list := t.nodes.live()
	for i, info := range list {
		list[i] = proto.Clone(info).(*apiv1.NodeInfo)
		if info.Home == t.self {
			list[i].LastRenewedUnixMs = t.nodes.leases[info.Instance].expires.Add(-LeaseTime).UnixMilli()
		} else if heard, ok := t.homes[info.Home]; ok {
			list[i].LastRenewedUnixMs = heard.UnixMilli()
		}
	}
	return list
}

// Servers lists the backend servers that hold a lease, by instance name.
func (t *Table) Servers() []*apiv1.BackendServer {
	return t.servers.live()
}
