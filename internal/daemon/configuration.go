package daemon

import (
	"sync/atomic"

	"samphireflow/internal/claim"
	"samphireflow/internal/node"
	"samphireflow/internal/routing"
)

// configurationReader gives claim holders and clients what they need of the applied configuration. It works it out once
// for each routing table.
type configurationReader struct {
	node *node.Node
	last atomic.Pointer[readConfiguration]
}

type readConfiguration struct {
	table         *routing.Table
	configuration claim.Configuration
}

func newConfigurationReader(n *node.Node) *configurationReader {
	return &configurationReader{node: n}
}

func (r *configurationReader) read() claim.Configuration {
	table := r.node.Table()
	if table == nil {
		return claim.Configuration{}
	}
	if last := r.last.Load(); last != nil && last.table == table {
		return last.configuration
	}
	next := &readConfiguration{
		table: table,
		configuration: claim.Configuration{
			Assignments: table.Snapshot.Assignments,
			Retention:   table.LongestRetention(),
		},
	}
	r.last.Store(next)
	return next.configuration
}
