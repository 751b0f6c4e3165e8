package limit

import (
	"sync"
	"time"
)

const (
	// GrantTTL is the time for which a node may use granted connections, counted from its request. The deadline of each
	// call on a granted connection lies within that time.
	GrantTTL = 120 * time.Second
	// GrantGrace is added to GrantTTL before the granted connections can be granted to other nodes. It covers the time
	// that closing a connection takes.
	GrantGrace = time.Second
	// freeDivisor bounds what one request adds to a node's grant: at most the free connections divided by it, but at
	// least one if any is free. The rest stays free for other nodes.
	freeDivisor = 4
)

// ConnectionGrants grants other nodes the connections that they may keep to one backend server. Only the node beside
// that backend server grants them, so the bound does not depend on what the other nodes know of each other.
//
// Invariant: the sum over all nodes of their largest unexpired grant never exceeds the capacity. A process that starts
// beside a running backend server does not know the grants of its predecessor. Until all of those have expired, it only
// renews the connections that nodes report as held.
type ConnectionGrants struct {
	capacity int
	// recoveryEnd is the time by which all unknown grants have expired.
	recoveryEnd time.Time

	mu sync.Mutex
	// grants holds the unexpired grants of each node by its name.
	grants map[string][]grant
}

// grant allows a node a number of connections until a time.
type grant struct {
	count   int
	expires time.Time
}

// NewConnectionGrants returns the grants for a backend server to which no node holds any. The capacity is the number of
// connections that can be granted.
func NewConnectionGrants(capacity int) *ConnectionGrants {
	return &ConnectionGrants{capacity: max(capacity, 0), grants: map[string][]grant{}}
}

// RecoverConnectionGrants returns the grants for a backend server to which nodes may hold grants that are not known.
func RecoverConnectionGrants(capacity int, now time.Time) *ConnectionGrants {
	c := NewConnectionGrants(capacity)
	c.recoveryEnd = now.Add(GrantTTL + GrantGrace)
	return c
}

// Request renews, raises or lowers the grant of a node, which reports how many connections it holds and how many it
// could use. It returns the number of connections that the node may keep for GrantTTL from the time of its request,
// 0 for none.
func (c *ConnectionGrants) Request(node string, held, want int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired(now)
	current := largest(c.grants[node])
	free := c.capacity - c.granted()
	count := c.grantSize(current, held, want, free, now)
	if count <= 0 {
		return 0
	}
	c.grants[node] = append(c.grants[node], grant{count: count, expires: now.Add(GrantTTL + GrantGrace)})
	c.grants[node] = compact(c.grants[node])
	return count
}

// ByNode returns the number of connections that each node may hold, by the name of the node. Expired grants count until
// the next Request removes them.
func (c *ConnectionGrants) ByNode() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.grants))
	for node, grants := range c.grants {
		counts[node] = largest(grants)
	}
	return counts
}

// grantSize returns the size of a node's next grant. The current size is that of its largest grant, and free is the
// number of connections that are not granted.
func (c *ConnectionGrants) grantSize(current, held, want, free int, now time.Time) int {
	if now.Before(c.recoveryEnd) {
		return c.renewHeld(current, held, free)
	}
	if want <= current {
		return want
	}
	return current + min(want-current, max(free/freeDivisor, min(free, 1)))
}

// renewHeld returns the size of a grant during recovery: the connections that the node holds, as far as they are free.
func (c *ConnectionGrants) renewHeld(current, held, free int) int {
	return min(held, current+max(free, 0))
}

// removeExpired removes the expired grants.
func (c *ConnectionGrants) removeExpired(now time.Time) {
	for node, grants := range c.grants {
		kept := grants[:0]
		for _, g := range grants {
			if now.Before(g.expires) {
				kept = append(kept, g)
			}
		}
		if len(kept) == 0 {
			delete(c.grants, node)
			continue
		}
		c.grants[node] = kept
	}
}

// granted returns the number of connections that all nodes together may hold.
func (c *ConnectionGrants) granted() int {
	sum := 0
	for _, grants := range c.grants {
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

// compact removes the grants for which a later one has the same or a larger count.
func compact(grants []grant) []grant {
	var kept []grant
	maxCount := 0
	for i := len(grants) - 1; i >= 0; i-- {
		if grants[i].count > maxCount {
			maxCount = grants[i].count
			kept = append(kept, grants[i])
		}
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	return kept
}
