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

// group stands for the replicated log: an entry is accepted by the leader and applied at once by every member that
// is not isolated.
type group struct {
	// ended is closed at the end of the world, so that no read outlives it.
	ended <-chan struct{}

	mu      sync.Mutex
	term    uint64
	entries []entry
	members []*groupMember
}

type entry struct {
	term uint64
	data []byte
}

// groupMember is one member's view of the group.
type groupMember struct {
	group    *group
	id       string
	addr     string
	machine  *state.Machine
	applied  int
	isolated bool
	leads    bool
	since    time.Time
}

func newGroup(addrs []string) *group {
	g := &group{term: 1}
	for i, addr := range addrs {
		g.members = append(g.members, &groupMember{group: g, id: addr, addr: addr, machine: state.NewMachine(), leads: i == 0})
	}
	return g
}

// isolate cuts a member off from the others. A leader goes on believing that it leads, and another one is elected.
func (g *group) isolate(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isolated := g.members[i]
	isolated.isolated = true
	isolated.since = time.Now()
	if !isolated.leads {
		return
	}
	g.term++
	for _, other := range g.members {
		if !other.isolated {
			other.leads = true
			return
		}
	}
}

// heal joins all members again; of two leaders the later one goes on.
func (g *group) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, member := range g.members {
		if member.isolated {
			member.isolated = false
			member.leads = false
		}
		member.catchUp()
	}
}

func (m *groupMember) catchUp() {
	for ; m.applied < len(m.group.entries); m.applied++ {
		e := m.group.entries[m.applied]
		m.machine.Apply(uint64(m.applied+1), e.term, e.data)
	}
}

// submit runs a command through the leader that a majority follows.
func (g *group) submit(command *apiv1.Command) *apiv1.CommandResult {
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

func (g *group) append(data []byte) []byte {
	g.entries = append(g.entries, entry{g.term, data})
	var answer []byte
	for _, member := range g.members {
		if !member.isolated {
			member.applied++
			answer = member.machine.Apply(uint64(member.applied), g.term, data)
		}
	}
	return answer
}

// Propose accepts a command only at the leader that a majority follows.
func (m *groupMember) Propose(_ context.Context, data []byte) ([]byte, error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.isolated || !m.leads {
		return nil, replica.ErrNoQuorum
	}
	return m.group.append(data), nil
}

// ReadIndex fails at an isolated member.
func (m *groupMember) ReadIndex(ctx context.Context) error {
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

// Status tells what the member believes.
func (m *groupMember) Status() replica.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	status := replica.Status{ID: m.id, Term: m.group.term, IsLeader: m.leads}
	for _, member := range m.group.members {
		status.Members = append(status.Members, replica.Member{ID: member.id, ControlAddr: member.addr})
	}
	if m.isolated {
		status.LastContact = time.Since(m.since)
	}
	return status
}
