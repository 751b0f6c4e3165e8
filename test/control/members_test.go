package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/waltest"
)

// acceptEdit resends an edit until its answer is final, checks that it is accepted and returns its version.
func (g *group) acceptEdit(id string, base uint64) uint64 {
	random := rand.New(rand.NewPCG(1, 5))
	var out answer
	require.Eventually(g.t, func() bool {
		out = groupService{g}.edit(random, request{editID: id, base: base})
		return out.final()
	}, settleTimeout, tickInterval)
	require.Equal(g.t, apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, out.outcome)
	return out.version
}

// TestAddReplaceAndRemoveInstances invites a fourth instance and removes the first one. Then two of the three that remain
// lose their disks one after the other.
func TestAddReplaceAndRemoveInstances(t *testing.T) {
	g := startGroup(t, 1, 3)
	version := g.acceptEdit("first", 0)
	fourth := &instance{name: "c3", disk: waltest.NewDisk()}
	g.start(fourth)
	g.instances = append(g.instances, fourth)
	require.Eventually(t, func() bool { return len(g.leader().Status().Joiners) == 1 }, settleTimeout, tickInterval)
	require.Len(t, g.leader().Status().Members, 3, "a new instance joins only after an invitation")
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		return g.leader().Invite(ctx, "c3") == nil
	}, settleTimeout, tickInterval)
	g.awaitVoters()
	require.Len(t, g.leader().Status().Voters, 4)

	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		return g.leader().Remove(ctx, "c0") == nil || len(g.leader().Status().Voters) == 3
	}, settleTimeout, tickInterval)
	g.stop(g.instances[0], false)
	g.instances = g.instances[1:]
	version = g.acceptEdit("second", version)

	f := &faultInjector{group: g, counts: map[string]int{}}
	f.loseDisk(g.instances[0])
	g.awaitVoters()
	f.loseDisk(g.instances[1])
	g.awaitVoters()
	g.acceptEdit("third", version)
	g.awaitVoters()
	require.Len(t, g.leader().Status().Voters, 3)
	checkReplicas(t, g, &history{accepted: map[string]uint64{"first": 1, "second": 2, "third": 3}, operations: nil})
}

// TestMajorityDiskLossStopsTheGroup lets two of three instances lose their disks at once. They must not form a new group,
// since that would lose accepted edits, and no edit may get a final answer.
func TestMajorityDiskLossStopsTheGroup(t *testing.T) {
	g := startGroup(t, 2, 3)
	g.acceptEdit("first", 0)
	g.awaitVoters()
	for _, lost := range g.instances[:2] {
		g.stop(lost, true)
		lost.disk = waltest.NewDisk()
	}
	for _, lost := range g.instances[:2] {
		g.start(lost)
	}
	random := rand.New(rand.NewPCG(1, 6))
	for i := 0; i < 8; i++ {
		out := groupService{g}.edit(random, request{editID: "second", base: 1})
		require.False(t, out.final(), "%+v", out)
	}
	for _, lost := range g.instances[:2] {
		running, _ := lost.running()
		require.Empty(t, running.Status().Members)
	}
	survivor, machine := g.instances[2].running()
	require.Equal(t, uint64(1), machine.View().Version)
	require.Eventually(t, func() bool { return survivor.Status().LastContact > 2*attemptTimeout }, settleTimeout, time.Millisecond,
		"the survivor reports the age of its last contact with a quorum")
}

// TestInvitationOutlastsTheLeader guards against an invitation that was acknowledged and is forgotten, because only the leader
// knew it: all instances restart between the invitation and the join.
func TestInvitationOutlastsTheLeader(t *testing.T) {
	g := startGroup(t, 5, 3)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		return g.leader().Invite(ctx, "c3") == nil
	}, settleTimeout, tickInterval)
	for _, i := range g.instances {
		g.stop(i, true)
	}
	for _, i := range g.instances {
		g.start(i)
	}
	g.awaitVoters()
	invited := &instance{name: "c3", disk: waltest.NewDisk()}
	g.start(invited)
	g.instances = append(g.instances, invited)
	g.awaitVoters()
	require.Len(t, g.leader().Status().Voters, 4)

	remove := func(name string) error {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		return g.leader().Remove(ctx, name)
	}
	require.Eventually(t, func() bool { return remove("c3") == nil }, settleTimeout, tickInterval)
	g.stop(invited, false)
	invited.disk = waltest.NewDisk()
	g.start(invited)
	require.Eventually(t, func() bool { return len(g.leader().Status().Joiners) == 1 }, settleTimeout, tickInterval)
	require.Len(t, g.leader().Status().Members, 3, "the invitation ends with the removal")
}
