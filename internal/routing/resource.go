package routing

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Resource is a named rate limit with parsed settings. Routes refer to it by name.
type Resource struct {
	Name string
	// PerSecond is the number of calls per second that a node may send, 0 for no limit.
	PerSecond float64
	// Burst is the number of calls that a node may send at once.
	Burst int
}

func parseResource(config *apiv1.ResourceConfig) *Resource {
	v := readValues(config.Settings)
	return &Resource{
		Name:      config.Name,
		PerSecond: v.float(tree.KeyResourceCallsRate),
		Burst:     v.integer(tree.KeyResourceBurst),
	}
}
