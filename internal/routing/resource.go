package routing

import (
	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// Resource is a rate limit with its settings parsed.
type Resource struct {
	Name string
	// PerSecond is the number of calls a second that a node may send; 0 for no limit.
	PerSecond float64
	// Burst is the number of calls that may come at once.
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
