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
	// convergenceBound is the time in which an accepted edit is in force everywhere.
	convergenceBound = 11 * time.Second
	// rounds is the number of faults of one run, and seed chooses them.
	rounds = 12
	seed   = 1
)

// editor makes edits as an operator does.
type editor struct {
	deployment *deployment.Deployment
	number     int
}

// edit makes one edit.
func (e *editor) edit(ctx context.Context, t *testing.T) {
	t.Helper()
	e.number++
	_, err := e.deployment.CLI(ctx, "set", "/", fmt.Sprintf("call.timeout=%dms", 1500+e.number))
	require.NoError(t, err)
}

// newest returns the newest version that a control instance has.
func newest(t *testing.T, d *deployment.Deployment) uint64 {
	t.Helper()
	version := uint64(0)
	for _, control := range harness.ByRole(d, deployment.RoleControl) {
		version = max(version, versionOf(control))
	}
	require.NotZero(t, version)
	return version
}

var client = &http.Client{Timeout: time.Second}

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

// requireConverged waits until every node acts on the newest version.
func requireConverged(ctx context.Context, t *testing.T, d *deployment.Deployment, within time.Duration) {
	t.Helper()
	version := newest(t, d)
	harness.Eventually(ctx, t, fmt.Sprintf("version %d everywhere", version), within, func() bool {
		for _, node := range harness.ByRole(d, deployment.RoleNode) {
			if versionOf(node) < version {
				return false
			}
		}
		return true
	})
}

// TestNoStepBackUnderKillsFreezesAndCuts edits while processes are killed, frozen and cut off.
func TestNoStepBackUnderKillsFreezesAndCuts(t *testing.T) {
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
			harness.Eventually(ctx, t, "an edit after the restart", convergenceBound, func() bool {
				_, err := d.CLI(ctx, "set", "/", "retry.limit=1")
				return err == nil
			})
		}
		requireConverged(ctx, t, d, convergenceBound)
	}
	requireNoStepBack(t, d)
}

// TestCutDomainRestartsItsNodes cuts a failure domain off from everything and restarts its nodes: each must serve
// again what it had, and follow after the healing.
func TestCutDomainRestartsItsNodes(t *testing.T) {
	ctx, d := harness.Start(t, deployment.Ploughline())
	e := &editor{deployment: d}
	e.edit(ctx, t)
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		harness.Eventually(ctx, t, "all relays assigned at "+node.Instance, settleTime, func() bool {
			return relaysKnownAt(ctx, node) == wantedRelays(d, node.FailureDomain)
		})
	}
	requireConverged(ctx, t, d, convergenceBound)
	require.NoError(t, d.PartitionDomains(ctx, "hobart"))
	before := newest(t, d)
	restarted := 0
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain != "hobart" || restarted == 1 {
			continue
		}
		restarted++
		require.NoError(t, d.Kill(node))
		_, err := d.Restart(node)
		require.NoError(t, err)
		harness.Eventually(ctx, t, node.Instance+" serves again", convergenceBound, func() bool { return versionOf(node) == before })
	}
	e.edit(ctx, t)
	require.NoError(t, d.PartitionDomains(ctx))
	requireConverged(ctx, t, d, convergenceBound)
	requireNoStepBack(t, d)
}

// settleTime bounds the time in which the sets of relays grow to their size, and relaySetSize is that size.
const (
	settleTime   = 60 * time.Second
	relaySetSize = 5
)

// wantedRelays returns the largest odd number of relays that a failure domain can have.
func wantedRelays(d *deployment.Deployment, domain string) int {
	nodes := 0
	for _, node := range harness.ByRole(d, deployment.RoleNode) {
		if node.FailureDomain == domain {
			nodes++
		}
	}
	wanted := min(nodes, relaySetSize)
	if wanted%2 == 0 {
		wanted--
	}
	return wanted
}

// relaysKnownAt returns the number of relays that the configuration of a node names.
func relaysKnownAt(ctx context.Context, node deployment.Process) int {
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
