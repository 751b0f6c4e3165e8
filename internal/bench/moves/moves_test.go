package moves

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// kind finds a kind of move by name.
func kind(t *testing.T, name string) mode {
	for _, m := range append(goodModes(), badModes()...) {
		if m.name == name {
			return m
		}
	}
	t.Fatalf("no kind %q", name)
	return mode{}
}

func endAll(t *testing.T, w workload, name string) []result {
	results, err := runMany(context.Background(), w, kind(t, name), 1, 10, newJudged)
	require.NoError(t, err)
	return results
}

func TestGoodVersionsAreWholeInTimeByDay(t *testing.T) {
	for _, name := range []string{"good", "cold-start", "both-fail-for-a-time", "both-fail-when-whole", "crashing-request", "leader-lost"} {
		for _, r := range endAll(t, workloads()[1], name) {
			require.True(t, r.inTime, "%s: %s %s", name, r.state, r.reason)
		}
	}
}

func TestBadVersionsAreTakenBack(t *testing.T) {
	for _, w := range workloads()[1:] {
		for _, name := range []string{"fails-every-call", "slow-at-once", "one-route-fails"} {
			for _, r := range endAll(t, w, name) {
				require.True(t, r.takenBack(), "%s %s: %s %s", w.name, name, r.state, r.reason)
			}
		}
	}
}
