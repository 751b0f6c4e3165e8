package limit

import (
	"sync"
	"time"
)

const (
	// GrantTTL is the time for which a node may use granted connections, counted from its request. The deadline of
	// each call on one of them lies within that time.
	GrantTTL = 120 * time.Second
	// GrantGrace is added to GrantTTL before the granted connections are given to others. It covers the closing of a
	// connection.
	GrantGrace = time.Second
	// newcomerShare is the part of the free connections that one request gets at most.
	newcomerShare = 4
)

// ConnectionGrants grants the connections that other nodes may keep to one backend server. The node beside that backend server
// holds it, so the bound does not depend on what the other nodes know of each other.
//
// Invariant: the sum over nodes of their largest grant that has not lapsed never exceeds the capacity. A ledger that
// starts beside a running backend server may have lost grants, so it only renews what nodes say they hold until every
// lost grant has lapsed.
type ConnectionGrants struct {
	capacity  int
	recovered time.Time

	mu     sync.Mutex
	grants map[string][]grant
}

type grant struct {
	count   int
	expires time.Time
}

// NewConnectionGrants returns the ledger of a backend server that nobody holds a grant of. The capacity is the number of
// connections to give out.
func NewConnectionGrants(capacity int) *ConnectionGrants {
	return &ConnectionGrants{capacity: max(capacity, 0), grants: map[string][]grant{}}
}

// RecoverConnectionGrants returns the ledger of a backend server whose grants are lost.
func RecoverConnectionGrants(capacity int, now time.Time) *ConnectionGrants {
	ledger := NewConnectionGrants(capacity)
	ledger.recovered = now.Add(GrantTTL + GrantGrace)
	return ledger
}

// Request renews or extends the connections of a node, which says how many it holds and how many it could use. It returns
// the number that the node may keep for GrantTTL from the time of its request, 0 for none.
func (l *ConnectionGrants) Request(node string, held, want int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse(now)
	current := largest(l.grants[node])
	free := l.capacity - l.total()
	count := l.decide(current, held, want, free, now)
	if count <= 0 {
		return 0
	}
	l.grants[node] = append(l.grants[node], grant{count: count, expires: now.Add(GrantTTL + GrantGrace)})
	l.grants[node] = compact(l.grants[node])
	return count
}

// ByNode returns the connections that each node may hold, by its name.
func (l *ConnectionGrants) ByNode() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.grants))
	for node, grants := range l.grants {
		counts[node] = largest(grants)
	}
	return counts
}

func (l *ConnectionGrants) decide(current, held, want, free int, now time.Time) int {
	if now.Before(l.recovered) {
		return l.recover(current, held, free)
	}
	if want <= current {
		return want
	}
	return current + min(want-current, max(free/newcomerShare, min(free, 1)))
}

// recover renews what a node holds from before the ledger started.
func (l *ConnectionGrants) recover(current, held, free int) int {
	return min(held, current+max(free, 0))
}

// lapse forgets the grants that have run out.
func (l *ConnectionGrants) lapse(now time.Time) {
	for node, grants := range l.grants {
		kept := grants[:0]
		for _, g := range grants {
			if now.Before(g.expires) {
				kept = append(kept, g)
			}
		}
		if len(kept) == 0 {
			delete(l.grants, node)
			continue
		}
		l.grants[node] = kept
	}
}

func (l *ConnectionGrants) total() int {
	sum := 0
	for _, grants := range l.grants {
		sum += largest(grants)
	}
	return sum
}

func largest(grants []grant) int {
	count := 0
	for _, g := range grants {
		count = max(count, g.count)
	}
	return count
}

// compact drops the grants that a later one of the same or a larger count covers.
func compact(grants []grant) []grant {
	var kept []grant
	best := 0
	for i := len(grants) - 1; i >= 0; i-- {
		if grants[i].count > best {
			best = grants[i].count
			kept = append(kept, grants[i])
		}
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	return kept
}
