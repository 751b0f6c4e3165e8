package ingress

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a number of nodes, each with its own retry budget, that call two services: front, whose runs call back. Half of
// the nodes have a backend server of front beside them.
type fleet struct {
	random  *rand.Rand
	budgets []*retryBudget
	// repeated holds, for each node, the share of retries among the runs at its backend server, as a gate measures it.
	repeated []float64
	// shed is the share of arrivals that the backend servers of back refuse.
	shed float64
	// calls and repeats count the calls to back and the arrivals there beyond them.
	calls, repeats int
}

func newFleet(nodes int, limits RetryLimits) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, uint64(nodes))), repeated: make([]float64, nodes)}
	for range nodes {
		f.budgets = append(f.budgets, newRetryBudget(limits))
	}
	return f
}

// callFront makes a call to front at a node and reports its failure to the node's budget, like an idempotent call that
// may be sent to two backend servers.
func (f *fleet) callFront(node int, now time.Time) {
	f.budgets[node].recordFirstSend("front", f.repeated[node], len(f.budgets), now)
	if !f.runFront(false, now) && f.budgets[node].takeRetry("front", now) {
		f.runFront(true, now)
	}
}

// runFront runs a call at some backend server of front, which calls back twice and fails if either call is refused.
func (f *fleet) runFront(repeated bool, now time.Time) bool {
	node := f.random.IntN(len(f.budgets) / 2)
	value := 0.0
	if repeated {
		value = 1
	}
	f.repeated[node] += 0.05 * (value - f.repeated[node])
	first := f.callBack(node, repeated, now)
	return f.callBack(node, repeated, now) && first
}

func (f *fleet) callBack(node int, repeated bool, now time.Time) bool {
	if repeated {
		f.repeats++
	} else {
		f.calls++
	}
	budget := f.budgets[node]
	budget.recordFirstSend("back", f.repeated[node], len(f.budgets), now)
	if f.random.Float64() >= f.shed {
		return true
	}
	if !budget.takeRetry("back", now) {
		return false
	}
	f.repeats++
	return f.random.Float64() >= f.shed
}

// TestRetriesOfAllNodesStayWithinTheRatio replays a service whose backend servers refuse half of their arrivals from one
// moment on, after a quiet time in which all buckets have filled. The retries of all nodes to it, and the calls that are
// made again by retried runs of the service in front of it, stay within the ratio and the slack in each window.
func TestRetriesOfAllNodesStayWithinTheRatio(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
		// slackPerNode is the least slack that the deployments grant for each node.
		slackPerNode = 2.1
		callRate     = 1800
	)
	for _, nodes := range []int{10, 30, 100, 300} {
		for _, skew := range []float64{1, 4} {
			t.Run(fmt.Sprint(nodes, " nodes, skew ", skew), func(t *testing.T) {
				slack := slackPerNode * float64(nodes)
				f := newFleet(nodes, RetryLimits{Ratio: ratio, Slack: slack})
				now := time.Unix(1_800_000_000, 0)
				play := func(duration time.Duration) {
					for range int(duration.Seconds() * callRate) {
						now = now.Add(time.Second / callRate)
						// The power concentrates the calls on the first nodes.
						node := int(float64(nodes) * math.Pow(f.random.Float64(), skew))
						f.callFront(node, now)
					}
				}
				play(window)
				f.shed = 0.55
				for range 3 {
					f.calls, f.repeats = 0, 0
					play(window)
					require.LessOrEqual(t, float64(f.repeats), ratio*float64(f.calls)+slack)
					require.Greater(t, float64(f.repeats), 0.02*float64(f.calls), "some calls are retried")
				}
			})
		}
	}
}

func TestBucketsOfAllNodesHoldTheSlack(t *testing.T) {
	limits := RetryLimits{Slack: 604}
	require.LessOrEqual(t, limits.burst(281)*281, 604.0)
	require.InDelta(t, minRetryBurst, limits.burst(2000), 0)
	require.InDelta(t, maxRetryBurst, limits.burst(3), 0)
	require.InDelta(t, maxRetryBurst, RetryLimits{}.burst(1000), 0)
}
