package distribution_test

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
)

// fakeControlGroup replaces the replicated log. The leader accepts an entry, and every member that is not isolated applies
// it at once.
type fakeControlGroup struct {
	// ended is closed at the end of the simulation, so that blocked reads return.
	ended <-chan struct{}

	mu      sync.Mutex
	term    uint64
	entries []logEntry
	members []*fakeMember
}

type logEntry struct {
	term uint64
	data []byte
}

// fakeMember is one member's view of the group.
type fakeMember struct {
	group         *fakeControlGroup
	id            string
	addr          string
	machine       *state.Machine
	applied       int
	isolated      bool
	isLeader      bool
	isolatedSince time.Time
}

func newFakeControlGroup(addrs []string) *fakeControlGroup {
	g := &fakeControlGroup{term: 1}
	for i, addr := range addrs {
		g.members = append(g.members, &fakeMember{group: g, id: addr, addr: addr, machine: state.NewMachine(), isLeader: i == 0})
	}
	return g
}

// isolate partitions a member from the others. An isolated leader still believes that it leads, and another member is
// elected.
func (g *fakeControlGroup) isolate(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isolated := g.members[i]
	isolated.isolated = true
	isolated.isolatedSince = time.Now()
	if !isolated.isLeader {
		return
	}
	g.term++
	for _, other := range g.members {
		if !other.isolated {
			other.isLeader = true
			return
		}
	}
}

// heal ends all isolation. An isolated leader steps down, and all members catch up.
func (g *fakeControlGroup) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members {
		if member.isolated {
			member.isolated = false
			member.isLeader = false
		}
		member.catchUp()
	}
}

func (m *fakeMember) catchUp() {
	for ; m.applied < len(m.group.entries); m.applied++ {
		e := m.group.entries[m.applied]
		m.machine.Apply(uint64(m.applied+1), e.term, e.data)
	}
}

// submit runs a command through the leader of the majority.
func (g *fakeControlGroup) submit(command *apiv1.Command) *apiv1.CommandResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := proto.Marshal(command)
	if err != nil {
		panic(err)
	}
	result := &apiv1.CommandResult{}
	if err := proto.Unmarshal(g.append(data), result); err != nil {
		panic(err)
	}
	return result
}

func (g *fakeControlGroup) append(data []byte) []byte {
	g.entries = append(g.entries, logEntry{g.term, data})
	var answer []byte
	for _, member := range g.members {
		if !member.isolated {
			member.applied++
			answer = member.machine.Apply(uint64(member.applied), g.term, data)
		}
	}
	return answer
}

// Propose accepts a command only at the leader of the majority.
func (m *fakeMember) Propose(_ context.Context, data []byte) ([]byte, error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.isolated || !m.isLeader {
		return nil, replica.ErrNoQuorum
	}
	return m.group.append(data), nil
}

// ReadIndex blocks at an isolated member until the context or the simulation ends, and then fails.
func (m *fakeMember) ReadIndex(ctx context.Context) error {
	m.group.mu.Lock()
	isolated := m.isolated
	m.group.mu.Unlock()
	if !isolated {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-m.group.ended:
	}
	return replica.ErrNoQuorum
}

// Status returns the status as the member sees it. An isolated leader still reports that it leads.
func (m *fakeMember) Status() replica.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	status := replica.Status{ID: m.id, Term: m.group.term, IsLeader: m.isLeader}
	for _, member := range m.group.members {
		status.Members = append(status.Members, replica.Member{ID: member.id, ControlAddr: member.addr})
	}
	if m.isolated {
		status.LastContact = time.Since(m.isolatedSince)
	}
	return status
}
