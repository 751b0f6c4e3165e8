package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

// failer is what the cluster needs of a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// member is a node with its disk and a state machine that hashes its commands.
type member struct {
	id   string
	node *Node
	disk State
	hash uint64
	down bool
	runs uint64
}

// cluster drives nodes over a network that keeps every message until it is delivered or dropped.
type cluster struct {
	t       failer
	cfg     Config
	seed    uint64
	members []*member
	network []*apiv1.ReplicationMessage
	// hashes, terms and leaders hold what any member has ever applied or been.
	hashes  map[uint64]uint64
	leaders map[uint64]string
	// reads maps the context of a read to the highest index that was applied anywhere when it was asked.
	reads     map[uint64]uint64
	lastRead  uint64
	answered  int
	proposals int
}

func newCluster(t failer, seed uint64, voters, spares int, cfg Config) *cluster {
	c := &cluster{t: t, cfg: cfg, seed: seed, hashes: map[uint64]uint64{}, leaders: map[uint64]string{}, reads: map[uint64]uint64{}}
	membership := &apiv1.ReplicaMembership{}
	for i := 0; i < voters; i++ {
		membership.Members = append(membership.Members, &apiv1.ReplicaMember{Id: fmt.Sprint("n", i)})
	}
	for i := 0; i < voters+spares; i++ {
		m := &member{id: fmt.Sprint("n", i)}
		if i < voters {
			m.disk.Snapshot = Snapshot{Index: 1, Term: 1, Membership: membership, Data: make([]byte, 8)}
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

// start makes a member's node from its disk alone.
func (c *cluster) start(m *member) {
	m.runs++
	cfg := c.cfg
	cfg.ID = m.id
	cfg.Rand = rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(m.id)+m.runs))
	disk := m.disk
	disk.Entries = append([]*apiv1.Entry(nil), disk.Entries...)
	m.node = New(cfg, disk)
	m.down = false
	m.hash = 0
	if len(disk.Snapshot.Data) > 0 {
		m.hash = binary.BigEndian.Uint64(disk.Snapshot.Data)
	}
}

// work does what the node asks for. With crash set the member stops before anything is persisted.
func (c *cluster) work(m *member, crash bool) {
	if m.down {
		return
	}
	m.node.Replicate()
	m.node.ConfirmReads()
	for {
		ready, ok := m.node.Ready()
		if !ok {
			break
		}
		c.checkLeader(m)
		c.post(ready.ImmediateMessages)
		if crash {
			m.down = true
			return
		}
		c.persist(m, ready)
		c.post(ready.Messages)
		c.apply(m, ready.Committed)
		for _, read := range ready.Reads {
			c.checkRead(read)
		}
		m.node.Advance(ready)
	}
}

func (c *cluster) post(messages []*apiv1.ReplicationMessage) {
	for _, message := range messages {
		c.network = append(c.network, proto.Clone(message).(*apiv1.ReplicationMessage))
	}
}

func (c *cluster) persist(m *member, ready *Ready) {
	if ready.HardState != nil {
		m.disk.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		m.disk.Snapshot = *ready.Snapshot
		m.disk.Entries = nil
		m.hash = binary.BigEndian.Uint64(ready.Snapshot.Data)
		c.checkHash(m, ready.Snapshot.Index)
	}
	if len(ready.Entries) == 0 {
		return
	}
	keep := ready.Entries[0].Index - m.disk.Snapshot.Index - 1
	m.disk.Entries = append(m.disk.Entries[:keep:keep], ready.Entries...)
}

func (c *cluster) apply(m *member, entries []*apiv1.Entry) {
	for _, entry := range entries {
		block := binary.BigEndian.AppendUint64(nil, m.hash)
		block = binary.BigEndian.AppendUint64(block, entry.Term)
		m.hash = xxhash.Sum64(append(block, entry.Data...))
		c.checkHash(m, entry.Index)
	}
}

// checkHash makes sure that all members go through the same states.
func (c *cluster) checkHash(m *member, index uint64) {
	want, known := c.hashes[index]
	if known && want != m.hash {
		c.t.Fatalf("%s applied another state at index %d than a member before", m.id, index)
	}
	c.hashes[index] = m.hash
}

func (c *cluster) checkLeader(m *member) {
	if m.node.Role() != Leader {
		return
	}
	other, known := c.leaders[m.node.Term()]
	if known && other != m.id {
		c.t.Fatalf("term %d has two leaders: %s and %s", m.node.Term(), other, m.id)
	}
	c.leaders[m.node.Term()] = m.id
}

func (c *cluster) highestApplied() uint64 {
	var highest uint64
	for index := range c.hashes {
		highest = max(highest, index)
	}
	return highest
}

func (c *cluster) read(m *member) {
	c.lastRead++
	if m.node.ReadIndex(c.lastRead) == nil {
		c.reads[c.lastRead] = c.highestApplied()
	}
}

func (c *cluster) checkRead(read Read) {
	if atLeast := c.reads[read.Context]; read.Index < atLeast {
		c.t.Fatalf("read %d may see index %d, but %d was applied before it was asked", read.Context, read.Index, atLeast)
	}
	c.answered++
}

func (c *cluster) deliver(i int, keep bool) {
	message := c.network[i]
	if !keep {
		c.network = append(c.network[:i], c.network[i+1:]...)
	}
	for _, m := range c.members {
		if m.id == message.To && !m.down {
			m.node.Step(proto.Clone(message).(*apiv1.ReplicationMessage))
		}
	}
}

func (c *cluster) compact(m *member) {
	c.work(m, false)
	if m.down || m.node.Applied() <= m.disk.Snapshot.Index {
		return
	}
	old := m.disk.Snapshot.Index
	snapshot := m.node.Compact(binary.BigEndian.AppendUint64(nil, m.hash))
	m.disk.Snapshot = snapshot
	m.disk.Entries = append([]*apiv1.Entry(nil), m.disk.Entries[snapshot.Index-old:]...)
}

func (c *cluster) propose(m *member) {
	c.proposals++
	if _, _, err := m.node.Propose([]byte(fmt.Sprint(c.proposals))); err != nil {
		c.proposals--
	}
}

// change proposes to add, promote, demote or remove one member.
func (c *cluster) change(m *member, target string) {
	next := proto.Clone(m.node.Membership()).(*apiv1.ReplicaMembership)
	for i, existing := range next.Members {
		if existing.Id != target {
			continue
		}
		if existing.Learner {
			existing.Learner = false
		} else {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
		}
		_, _, _ = m.node.ProposeMembership(next)
		return
	}
	next.Members = append(next.Members, &apiv1.ReplicaMember{Id: target, Learner: true})
	_, _, _ = m.node.ProposeMembership(next)
}

// round moves time on by one tick for all members and delivers everything that the filter lets through.
func (c *cluster) round(filter func(*apiv1.ReplicationMessage) bool) {
	for _, m := range c.members {
		if !m.down {
			m.node.Tick()
		}
	}
	for exchange := 0; exchange < 8; exchange++ {
		for _, m := range c.members {
			c.work(m, false)
		}
		messages := c.network
		c.network = nil
		for _, message := range messages {
			if filter == nil || filter(message) {
				c.network = append(c.network, message)
				c.deliver(0, false)
			}
		}
	}
}

func (c *cluster) leader() *member {
	var leader *member
	for _, m := range c.members {
		if !m.down && m.node.Role() == Leader && (leader == nil || m.node.Term() > leader.node.Term()) {
			leader = m
		}
	}
	return leader
}

// awaitLeader runs rounds until there is a leader.
func (c *cluster) awaitLeader(rounds int, filter func(*apiv1.ReplicationMessage) bool) *member {
	for i := 0; i < rounds; i++ {
		c.round(filter)
		if leader := c.leader(); leader != nil {
			return leader
		}
	}
	c.t.Fatalf("no leader within %d ticks", rounds)
	return nil
}

// describe tells the state of all members, for a failed test.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, m := range c.members {
		n := m.node
		fmt.Fprintf(&text, "%s %s term %d leader %q log (%d, %d] commit %d applied %d members %v\n",
			m.id, n.role, n.term, n.leader, n.log.start, n.log.last(), n.log.committed, n.log.applied, memberKinds(n.log.membership()))
		for id, p := range n.progress {
			fmt.Fprintf(&text, "    %s %+v\n", id, *p)
		}
	}
	return text.String()
}
