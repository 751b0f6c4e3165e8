package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/admin"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	// convergenceTimeout bounds the time until every node has applied an accepted edit.
	convergenceTimeout = 11 * time.Second
	// rounds is the number of faults in one run; seed selects them.
	rounds = 12
	seed   = 1
)

// editor makes edits with the command-line tool, each with another value.
type editor struct {
	deployment *deployment.Deployment
	count      int
}

func (e *editor) edit(ctx context.Context, t *testing.T) {
	t.Helper()
	e.count++
	_, err := e.deployment.CLI(ctx, "set", "/", fmt.Sprintf("call.timeout=%dms", 1500+e.count))
	require.NoError(t, err)
}

// newestVersion returns the newest version that any control instance has applied.
func newestVersion(t *testing.T, d *deployment.Deployment) uint64 {
	t.Helper()
	version := uint64(0)
	for _, control := range harness.ByRole(d, deployment.RoleControl) {
		version = max(version, versionOf(control))
	}
	require.NotZero(t, version)
	return version
}

var client = &http.Client{Timeout: time.Second}

// versionOf returns the configuration version that a process has applied, or 0 if the process does not answer.
func versionOf(process deployment.Process) uint64 {
	response, err := client.Get("http://" + process.AdminAddr + "/version")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var version admin.Version
	if json.NewDecoder(response.Body).Decode(&version) != nil {
		return 0
	}
	return version.Version
}

// requireConverged waits until every node has applied the newest version.
func requireConverged(ctx context.Context, t *testing.T, d *deployment.Deployment, within time.Duration) {
	t.Helper()
	version := newestVersion(t, d)
	harness.Eventually(ctx, t, fmt.Sprintf("version %d everywhere", version), within, func() bool {
		for _, node := range harness.ByRole(d, deployment.RoleNode) {
			if versionOf(node) < version {
				return false
			}
		}
		return true
	})
}

// TestVersionsNeverDecreaseUnderFaults makes edits while nodes are killed or paused, a failure domain is partitioned, or
// a control instance restarts.
func TestVersionsNeverDecreaseUnderFaults(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	random := rand.New(rand.NewPCG(seed, seed))
	e := &editor{deployment: d}
	for range rounds {
		nodes := harness.ByRole(d, deployment.RoleNode)
		victim := nodes[random.IntN(len(nodes))]
		switch random.IntN(4) {
		case 0:
			require.NoError(t, d.Kill(victim))
			e.edit(ctx, t)
			_, err := d.Restart(victim)
			require.NoError(t, err)
		case 1:
			require.NoError(t, d.Pause(victim))
			e.edit(ctx, t)
			e.edit(ctx, t)
			require.NoError(t, d.Resume(victim))
		case 2:
			require.NoError(t, d.PartitionDomains(ctx, "burnie"))
			e.edit(ctx, t)
			require.NoError(t, d.PartitionDomains(ctx))
		case 3:
			controls := harness.ByRole(d, deployment.RoleControl)
			control := controls[random.IntN(len(controls))]
			require.NoError(t, d.Kill(control))
			_, err := d.Restart(control)
			require.NoError(t, err)
			harness.Eventually(ctx, t, "an edit after the restart", convergenceTimeout, func() bool {
				_, err := d.CLI(ctx, "set", "/", "retry.limit=1")
				return err == nil
			})
		}
		requireConverged(ctx, t, d, convergenceTimeout)
	}
	requireVersionsNeverDecrease(t, d)
}

// TestNodeRestartsInPartitionedDomain partitions a failure domain from all others and restarts one of its nodes. The node
// must apply the version again that it had before, and newer ones when the partition ends.
func TestNodeRestartsInPartitionedDomain(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	e := &editor{deployment: d}
	e.edit(ctx, t)
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		harness.Eventually(ctx, t, "all relays assigned at "+node.Instance, relayTimeout, func() bool {
			return relayCount(ctx, node) == expectedRelayCount(d, node.FailureDomain)
		})
	}
	requireConverged(ctx, t, d, convergenceTimeout)
	require.NoError(t, d.PartitionDomains(ctx, "hobart"))
	before := newestVersion(t, d)
	restarted := 0
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain != "hobart" || restarted == 1 {
			continue
		}
		restarted++
		require.NoError(t, d.Kill(node))
		_, err := d.Restart(node)
		require.NoError(t, err)
		harness.Eventually(ctx, t, node.Instance+" serves again", convergenceTimeout, func() bool { return versionOf(node) == before })
	}
	e.edit(ctx, t)
	require.NoError(t, d.PartitionDomains(ctx))
	requireConverged(ctx, t, d, convergenceTimeout)
	requireVersionsNeverDecrease(t, d)
}

const (
	// relayTimeout bounds the time until every failure domain has all its relays.
	relayTimeout = 60 * time.Second
	maxRelays    = 5
)

// expectedRelayCount returns the number of relays that a failure domain should have: the largest odd number that is at
// most maxRelays and at most the number of its nodes.
func expectedRelayCount(d *deployment.Deployment, domain string) int {
	nodes := 0
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain == domain {
			nodes++
		}
	}
	count := min(nodes, maxRelays)
	if count%2 == 0 {
		count--
	}
	return count
}

// relayCount returns the number of relays in the configuration that a node has applied, or 0 if the node does not answer.
func relayCount(ctx context.Context, node deployment.Process) int {
	applied, err := apiv1.NewInspectProtobufClient("http://"+node.ControlAddr, client).Applied(ctx, &apiv1.AppliedRequest{Whole: true})
	if err != nil {
		return 0
	}
	for _, assignment := range applied.Snapshot.GetAssignments() {
		if assignment.Role == apiv1.AssignmentRole_ASSIGNMENT_ROLE_RELAY {
			return len(assignment.Nodes)
		}
	}
	return 0
}
