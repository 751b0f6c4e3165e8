package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "samphireflow/api/v1"
)

func node(i int) *apiv1.NodeInfo {
	return &apiv1.NodeInfo{Instance: fmt.Sprintf("n%d", i), FailureDomain: "hobart", ControlAddr: fmt.Sprintf("127.0.0.1:%d", i+1)}
}

func names(set *apiv1.Assignment) map[string]bool {
	instances := map[string]bool{}
	for _, n := range set.Nodes {
		instances[n.Instance] = true
	}
	return instances
}

// TestPlanChangesOneNodeAndNeedsALiveMajority runs a planner while random nodes are live at each step.
func TestPlanChangesOneNodeAndNeedsALiveMajority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		planner := NewPlanner(now)
		var current []*apiv1.Assignment
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			var live []*apiv1.NodeInfo
			alive := map[string]bool{}
			for i := range 7 {
				if rapid.Bool().Draw(rt, "live") {
					live = append(live, node(i))
					alive[node(i).Instance] = true
				}
			}
			for _, change := range planner.Plan(current, live, now) {
				before := findSet(current, change.FailureDomain, change.Role)
				if before == nil {
					require.Equal(rt, uint64(1), change.Epoch)
					current = append(current, change)
					continue
				}
				require.Equal(rt, before.Epoch+1, change.Epoch)
				kept, liveBefore := 0, 0
				for name := range names(before) {
					if names(change)[name] {
						kept++
					}
					if alive[name] {
						liveBefore++
					}
				}
				require.GreaterOrEqual(rt, kept, len(before.Nodes)-1)
				require.Greater(rt, 2*liveBefore, len(before.Nodes), "a set without a live majority does not change")
				before.Epoch, before.Nodes = change.Epoch, change.Nodes
			}
		}
	})
}

func TestPlanKeepsSetsOfAPartitionedDomain(t *testing.T) {
	start := time.Unix(1000, 0)
	planner := NewPlanner(start)
	live := []*apiv1.NodeInfo{node(0), node(1), node(2), node(3)}
	current := planner.Plan(nil, live, start.Add(time.Minute))
	require.Len(t, current, len(roles))
	require.Len(t, current[0].Nodes, setSize)
	require.Empty(t, planner.Plan(current, nil, start.Add(time.Hour)))
}
