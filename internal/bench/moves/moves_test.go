package moves

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// findScenario finds a scenario by name.
func findScenario(t *testing.T, name string) scenario {
	for _, s := range append(goodScenarios(), badScenarios()...) {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

func simulateMoves(t *testing.T, w workload, name string) []result {
	results, err := runMoves(context.Background(), w, findScenario(t, name), 1, 10, newJudgeStrategy)
	require.NoError(t, err)
	return results
}

func TestGoodVersionsReachFullShareInTime(t *testing.T) {
	for _, name := range []string{"good", "cold-start", "both-fail-for-a-time", "both-fail-when-whole", "crashing-request", "leader-lost"} {
		for _, r := range simulateMoves(t, workloads()[1], name) {
			require.True(t, r.completedInTime, "%s: %s %s", name, r.state, r.reason)
		}
	}
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	for _, w := range workloads()[1:] {
		for _, name := range []string{"fails-every-call", "slow-at-once", "one-route-fails"} {
			for _, r := range simulateMoves(t, w, name) {
				require.True(t, r.rolledBack(), "%s %s: %s %s", w.name, name, r.state, r.reason)
			}
		}
	}
}
