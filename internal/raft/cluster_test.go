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

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

// member is a node with its storage and a state machine whose state is a hash of all applied commands.
type member struct {
	id         string
	node       *Node
	storage    State
	stateHash  uint64
	down       bool
	startCount uint64
}

// cluster runs nodes on a simulated network that holds every message until the test delivers or drops it.
type cluster struct {
	t       testingT
	cfg     Config
	seed    uint64
	members []*member
	network []*apiv1.ReplicationMessage
	// stateHashes maps each applied index to the state hash of the members that have applied it.
	stateHashes  map[uint64]uint64
	leaderByTerm map[uint64]string
	// minReadIndex maps the context of a read to the highest index that any member had applied at its request.
	minReadIndex    map[uint64]uint64
	lastReadContext uint64
	answeredReads   int
	proposals       int
}

func newCluster(t testingT, seed uint64, voters, nonMembers int, cfg Config) *cluster {
	c := &cluster{t: t, cfg: cfg, seed: seed, stateHashes: map[uint64]uint64{}, leaderByTerm: map[uint64]string{}, minReadIndex: map[uint64]uint64{}}
	membership := &apiv1.ReplicaMembership{}
	for i := 0; i < voters; i++ {
		membership.Members = append(membership.Members, &apiv1.ReplicaMember{Id: fmt.Sprint("n", i)})
	}
	for i := 0; i < voters+nonMembers; i++ {
		m := &member{id: fmt.Sprint("n", i)}
		if i < voters {
			m.storage.Snapshot = Snapshot{Index: 1, Term: 1, Membership: membership, Data: make([]byte, 8)}
		}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

// start creates a member's node from its storage alone, as after a crash.
func (c *cluster) start(m *member) {
	m.startCount++
	cfg := c.cfg
	cfg.ID = m.id
	cfg.Rand = rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(m.id)+m.startCount))
	storage := m.storage
	storage.Entries = append([]*apiv1.Entry(nil), storage.Entries...)
	m.node = New(cfg, storage)
	m.down = false
	m.stateHash = 0
	if len(storage.Snapshot.Data) > 0 {
		m.stateHash = binary.BigEndian.Uint64(storage.Snapshot.Data)
	}
}

// processReady does the outstanding work of a member's node. With crash set, the member goes down before it persists
// anything.
func (c *cluster) processReady(m *member, crash bool) {
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
		c.enqueueMessages(ready.ImmediateMessages)
		if crash {
			m.down = true
			return
		}
		c.persist(m, ready)
		c.enqueueMessages(ready.Messages)
		c.apply(m, ready.Committed)
		for _, read := range ready.Reads {
			c.checkRead(read)
		}
		m.node.Advance(ready)
	}
}

func (c *cluster) enqueueMessages(messages []*apiv1.ReplicationMessage) {
	for _, message := range messages {
		c.network = append(c.network, proto.Clone(message).(*apiv1.ReplicationMessage))
	}
}

func (c *cluster) persist(m *member, ready *Ready) {
	if ready.HardState != nil {
		m.storage.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		m.storage.Snapshot = *ready.Snapshot
		m.storage.Entries = nil
		m.stateHash = binary.BigEndian.Uint64(ready.Snapshot.Data)
		c.checkHash(m, ready.Snapshot.Index)
	}
	if len(ready.Entries) == 0 {
		return
	}
	keep := ready.Entries[0].Index - m.storage.Snapshot.Index - 1
	m.storage.Entries = append(m.storage.Entries[:keep:keep], ready.Entries...)
}

func (c *cluster) apply(m *member, entries []*apiv1.Entry) {
	for _, entry := range entries {
		block := binary.BigEndian.AppendUint64(nil, m.stateHash)
		block = binary.BigEndian.AppendUint64(block, entry.Term)
		m.stateHash = xxhash.Sum64(append(block, entry.Data...))
		c.checkHash(m, entry.Index)
	}
}

// checkHash fails the test if another member had a different state at the same index.
func (c *cluster) checkHash(m *member, index uint64) {
	want, known := c.stateHashes[index]
	if known && want != m.stateHash {
		c.t.Fatalf("%s applied index %d with another state than a member before it", m.id, index)
	}
	c.stateHashes[index] = m.stateHash
}

// checkLeader fails the test if the member leads in a term that already has another leader.
func (c *cluster) checkLeader(m *member) {
	if m.node.Role() != Leader {
		return
	}
	other, known := c.leaderByTerm[m.node.Term()]
	if known && other != m.id {
		c.t.Fatalf("term %d has two leaders: %s and %s", m.node.Term(), other, m.id)
	}
	c.leaderByTerm[m.node.Term()] = m.id
}

func (c *cluster) highestApplied() uint64 {
	var highest uint64
	for index := range c.stateHashes {
		highest = max(highest, index)
	}
	return highest
}

func (c *cluster) read(m *member) {
	c.lastReadContext++
	if m.node.ReadIndex(c.lastReadContext) == nil {
		c.minReadIndex[c.lastReadContext] = c.highestApplied()
	}
}

func (c *cluster) checkRead(read Read) {
	if minIndex := c.minReadIndex[read.Context]; read.Index < minIndex {
		c.t.Fatalf("read %d is confirmed at index %d, but index %d was applied before its request", read.Context, read.Index, minIndex)
	}
	c.answeredReads++
}

// deliver hands a message of the network to its receiver. With keep set, the message stays in the network as a duplicate.
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
	c.processReady(m, false)
	if m.down || m.node.Applied() <= m.storage.Snapshot.Index {
		return
	}
	old := m.storage.Snapshot.Index
	snapshot := m.node.Compact(binary.BigEndian.AppendUint64(nil, m.stateHash))
	m.storage.Snapshot = snapshot
	m.storage.Entries = append([]*apiv1.Entry(nil), m.storage.Entries[snapshot.Index-old:]...)
}

func (c *cluster) propose(m *member) {
	c.proposals++
	if _, _, err := m.node.Propose([]byte(fmt.Sprint(c.proposals))); err != nil {
		c.proposals--
	}
}

// proposeMembershipChange proposes to promote the target if it is a learner, to remove it if it is a voter, and to add it as
// a learner otherwise. A refused proposal is ignored.
func (c *cluster) proposeMembershipChange(m *member, target string) {
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

// tickAndDeliver ticks every running member once and delivers the messages that filter accepts. A nil filter accepts all.
func (c *cluster) tickAndDeliver(filter func(*apiv1.ReplicationMessage) bool) {
	for _, m := range c.members {
		if !m.down {
			m.node.Tick()
		}
	}
	for exchange := 0; exchange < 8; exchange++ {
		for _, m := range c.members {
			c.processReady(m, false)
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

// awaitLeader runs up to the given number of ticks until there is a leader.
func (c *cluster) awaitLeader(ticks int, filter func(*apiv1.ReplicationMessage) bool) *member {
	for i := 0; i < ticks; i++ {
		c.tickAndDeliver(filter)
		if leader := c.leader(); leader != nil {
			return leader
		}
	}
	c.t.Fatalf("no leader within %d ticks", ticks)
	return nil
}

// dump returns the state of all members for the message of a failed test.
func (c *cluster) dump() string {
	var text strings.Builder
	for _, m := range c.members {
		n := m.node
		fmt.Fprintf(&text, "%s %s term %d leader %q log (%d, %d] commit %d applied %d members %v\n",
			m.id, n.role, n.term, n.leader, n.log.baseIndex, n.log.last(), n.log.committed, n.log.applied, learnersByID(n.log.latestMembership()))
		for id, p := range n.progress {
			fmt.Fprintf(&text, "    %s %+v\n", id, *p)
		}
	}
	return text.String()
}
