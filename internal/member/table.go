package member

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// LeaseTime is the time for which a node and its backend server count as present after a renewal.
const LeaseTime = 5 * time.Second

// goneMemory is the time for which a removed backend server is remembered, so that a late renewal of an older
// incarnation does not bring it back.
const goneMemory = 10 * time.Minute

// Table is the set of leased nodes and backend servers. It is owned by one goroutine or guarded by its owner.
//
// Invariant: seq grows with every change that readers can see, and each server record carries the seq of its
// last change, so that a reader that has all up to s needs only the records above s.
type Table struct {
	seq     uint64
	nodes   map[string]*nodeLease
	servers map[string]*serverLease
}

type nodeLease struct {
	info    *apiv1.NodeInfo
	expires time.Time
}

type serverLease struct {
	server  *apiv1.BackendServer
	expires time.Time
	seq     uint64
	gone    bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{seq: 1, nodes: map[string]*nodeLease{}, servers: map[string]*serverLease{}}
}

// Seq returns the sequence number of the last visible change.
func (t *Table) Seq() uint64 {
	return t.seq
}

// Renew extends the leases named by a request. It reports whether readers see a change.
func (t *Table) Renew(request *apiv1.RenewRequest, now time.Time) bool {
	before := t.seq
	if request.Node != nil {
		t.renewNode(request, now)
	}
	for _, server := range request.Servers {
		t.renewServer(server, now)
	}
	return t.seq != before
}

func (t *Table) renewNode(request *apiv1.RenewRequest, now time.Time) {
	known := t.nodes[request.Node.Instance]
	if known != nil && known.info.Incarnation > request.Node.Incarnation {
		return
	}
	if request.Leaving {
		delete(t.nodes, request.Node.Instance)
		return
	}
	t.nodes[request.Node.Instance] = &nodeLease{info: request.Node, expires: now.Add(LeaseTime)}
}

func (t *Table) renewServer(server *apiv1.BackendServer, now time.Time) {
	known := t.servers[server.Instance]
	if known != nil && older(server, known.server) {
		return
	}
	gone := server.State == apiv1.ServerState_SERVER_STATE_GONE
	if known == nil || known.gone != gone || !sameForReaders(known.server, server) {
		t.seq++
		known = &serverLease{seq: t.seq}
		t.servers[server.Instance] = known
	}
	known.server = server
	known.gone = gone
	known.expires = now.Add(LeaseTime)
	if gone {
		known.expires = now.Add(goneMemory)
	}
}

// older reports whether a record was made before the known one.
func older(server, known *apiv1.BackendServer) bool {
	if server.Incarnation != known.Incarnation {
		return server.Incarnation < known.Incarnation
	}
	return server.Revision < known.Revision
}

// sameForReaders reports whether a renewal changes nothing that a balancer acts on.
func sameForReaders(a, b *apiv1.BackendServer) bool {
	x, y := proto.Clone(a).(*apiv1.BackendServer), proto.Clone(b).(*apiv1.BackendServer)
	x.InFlight, y.InFlight = 0, 0
	x.Revision, y.Revision = 0, 0
	return proto.Equal(x, y)
}

// Expire ends the leases that have run out. It reports whether readers see a change.
func (t *Table) Expire(now time.Time) bool {
	before := t.seq
	for instance, lease := range t.nodes {
		if now.After(lease.expires) {
			delete(t.nodes, instance)
		}
	}
	for instance, lease := range t.servers {
		switch {
		case now.Before(lease.expires):
		case lease.gone:
			delete(t.servers, instance)
		default:
			t.seq++
			lease.gone = true
			lease.seq = t.seq
			lease.expires = now.Add(goneMemory)
		}
	}
	return t.seq != before
}

// Since returns what changed after a sequence number. With full, or when seq is 0, the list is complete.
func (t *Table) Since(seq uint64, full bool) *apiv1.MembersUpdate {
	full = full || seq == 0 || seq > t.seq
	update := &apiv1.MembersUpdate{Seq: t.seq, Full: full}
	for _, instance := range sortedKeys(t.servers) {
		lease := t.servers[instance]
		switch {
		case !full && lease.seq <= seq:
		case !lease.gone:
			update.Servers = append(update.Servers, lease.server)
		case !full:
			update.Removed = append(update.Removed, instance)
		}
	}
	return update
}

// Nodes lists the nodes that hold a lease, by instance name.
func (t *Table) Nodes() []*apiv1.NodeInfo {
	list := make([]*apiv1.NodeInfo, 0, len(t.nodes))
	for _, instance := range sortedKeys(t.nodes) {
		list = append(list, t.nodes[instance].info)
	}
	return list
}

// Servers lists the backend servers that hold a lease, by instance name.
func (t *Table) Servers() []*apiv1.BackendServer {
	return t.Since(0, true).Servers
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
