package daemon

import (
	"sync/atomic"

	"samphireflow/internal/claim"
	"samphireflow/internal/node"
	"samphireflow/internal/routing"
)

// configurationCache provides the part of the applied configuration that claim holders and their clients need. It
// derives that part once for each routing table.
type configurationCache struct {
	node *node.Node
	last atomic.Pointer[cachedConfiguration]
}

type cachedConfiguration struct {
	table         *routing.Table
	configuration claim.Configuration
}

func newConfigurationCache(n *node.Node) *configurationCache {
	return &configurationCache{node: n}
}

func (c *configurationCache) current() claim.Configuration {
	table := c.node.Table()
	if table == nil {
		return claim.Configuration{}
	}
	if last := c.last.Load(); last != nil && last.table == table {
		return last.configuration
	}
	next := &cachedConfiguration{
		table: table,
		configuration: claim.Configuration{
			Assignments: table.Snapshot.Assignments,
			Retention:   table.LongestRetention(),
		},
	}
	c.last.Store(next)
	return next.configuration
}
