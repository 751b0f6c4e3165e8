package moves

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/backendserver"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

// maxBadShare bounds the share of calls that reach a version that is faulty from the start until it is rolled back.
const maxBadShare = 0.1

// TestBadVersionIsRolledBack moves to versions that are faulty in different ways. Each move must be rolled back or
// expire while the new version gets only a small share of the calls.
func TestBadVersionIsRolledBack(t *testing.T) {
	slow := backendserver.FaultSet{Faults: []backendserver.Fault{{Kind: backendserver.FaultDelay, Delay: backendserver.Duration(60 * time.Millisecond)}}}
	for name, faults := range map[string]backendserver.FaultSet{
		"failing, with good health reports": errorFaults(0.4, ""),
		"failing on one route":              errorFaults(1, "/shifts"),
		"slow":                              slow,
		"crashing": {Faults: []backendserver.Fault{
			{Kind: backendserver.FaultCrash, Rate: ratePointer(0.2)},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setFaults(f.newServers, faults)
			f.startMove()
			move, endSeen := f.awaitEnd(deadline + watchTime)
			require.Contains(t, []apiv1.MoveState{apiv1.MoveState_MOVE_STATE_TAKEN_BACK, apiv1.MoveState_MOVE_STATE_EXPIRED}, move.State, move.Reason)
			f.requireNoLateCalls(move, endSeen, maxBadShare)
		})
	}
}

// awaitEnd waits until the move has ended in any state and returns it with the time of that observation.
func (f *fixture) awaitEnd(timeout time.Duration) (*apiv1.Move, time.Time) {
	f.t.Helper()
	var move *apiv1.Move
	harness.Eventually(f.ctx, f.t, "the end of the move", timeout, func() bool {
		move = f.move()
		return move.GetEndedUnixMs() != 0
	})
	return move, time.Now()
}

// TestVersionThatFailsAtFullShareIsRolledBack makes the new version fail while the move is still watched at full share.
func TestVersionThatFailsAtFullShareIsRolledBack(t *testing.T) {
	f := newFixture(t)
	f.startMove("--watch", "30s")
	f.awaitState(apiv1.MoveState_MOVE_STATE_WATCHING, deadline)
	f.setFaults(f.newServers, errorFaults(0.4, ""))
	faultsSet := time.Now()
	move, endSeen := f.awaitState(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 30*time.Second)
	t.Logf("rolled back %.1f s after the faults were set", endSeen.Sub(faultsSet).Seconds())
	f.requireNoLateCalls(move, endSeen, 1)
}

// TestGoodVersionReachesFullShareDespiteLeaderAndDomainLoss kills the leader of the control group and partitions a
// failure domain during the move of a good version. The move must still be done in time.
func TestGoodVersionReachesFullShareDespiteLeaderAndDomainLoss(t *testing.T) {
	f := newFixture(t)
	f.startMove()
	f.awaitStage(1)
	require.NoError(t, f.d.Kill(f.leader()))
	f.awaitStage(2)
	require.NoError(t, f.d.PartitionDomains(f.ctx, "burnie"))
	f.awaitAnsweredCalls(time.Now(), 900)
	require.NoError(t, f.d.PartitionDomains(f.ctx))
	move, endSeen := f.awaitState(apiv1.MoveState_MOVE_STATE_DONE, deadline+watchTime)
	require.LessOrEqual(t, endSeen.Add(-watchTime-2*time.Second).UnixMilli(), move.DeadlineUnixMs)
	t.Logf("done %.1f s after its start: %s", endSeen.Sub(time.UnixMilli(move.StartedUnixMs)).Seconds(), move.Reason)
}

func (f *fixture) awaitStage(stage uint32) {
	f.t.Helper()
	harness.Eventually(f.ctx, f.t, "the next stage", deadline, func() bool { return f.move().GetStage() >= stage })
}

func (f *fixture) leader() deployment.Process {
	f.t.Helper()
	for _, control := range harness.ByRole(f.d, deployment.RoleControl) {
		client := apiv1.NewStatusProtobufClient("http://"+control.ControlAddr, f.calls.client)
		status, err := client.Get(f.ctx, &apiv1.StatusRequest{})
		if err == nil && status.Leader == control.Instance {
			return control
		}
	}
	f.t.Fatal("no control instance reports itself as leader")
	return deployment.Process{}
}

// TestPartitionedDomainStopsCallsToFailingVersion partitions a failure domain and then makes the new version fail. The
// nodes of that domain have no contact with the control instances and must stop calling the version on their own.
func TestPartitionedDomainStopsCallsToFailingVersion(t *testing.T) {
	f := newFixture(t)
	f.startMove("--first-share", "0.2")
	f.awaitNewVersionCalls("burnie", 5)
	require.NoError(t, f.d.PartitionDomains(f.ctx, "burnie"))
	f.setFaults(f.newServers, errorFaults(1, ""))
	faultsSet := time.Now()
	harness.Eventually(f.ctx, t, "no call from the partitioned domain to the failing version", 25*time.Second, func() bool {
		return time.Since(f.lastNewVersionCall("burnie", faultsSet)) > 3*time.Second
	})
	t.Logf("last call of the partitioned domain %.1f s after the faults were set", f.calls.lastAnswer(newVersion, "burnie").Sub(faultsSet).Seconds())
	require.NoError(t, f.d.PartitionDomains(f.ctx))
	move, endSeen := f.awaitEnd(deadline + watchTime)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, move.State, move.Reason)
	f.requireNoLateCalls(move, endSeen, 1)
}

// lastNewVersionCall returns when the new version last answered a call from a failure domain, and start if it did not
// answer one after start.
func (f *fixture) lastNewVersionCall(domain string, start time.Time) time.Time {
	if last := f.calls.lastAnswer(newVersion, domain); last.After(start) {
		return last
	}
	return start
}

func (f *fixture) awaitNewVersionCalls(domain string, count int) {
	f.t.Helper()
	harness.Eventually(f.ctx, f.t, "calls to the new version from "+domain, 10*time.Second, func() bool {
		return f.calls.count(func(a answeredCall) bool { return a.domain == domain && a.version == newVersion }) >= count
	})
}

// TestSharedFailureIsNotAttributedToNewVersion makes all backend servers of the service fail in the same way, as the
// failure of a common dependency does. The move must wait instead of being rolled back.
func TestSharedFailureIsNotAttributedToNewVersion(t *testing.T) {
	f := newFixture(t)
	var all []deployment.Process
	for _, server := range harness.ByRole(f.d, deployment.RoleBackendServer) {
		if server.Service == service {
			all = append(all, server)
		}
	}
	f.startMove()
	f.awaitStage(1)
	f.setFaults(all, errorFaults(0.4, ""))
	f.awaitAnsweredCalls(time.Now(), 1000)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_RUNNING, f.move().GetState(), f.move().GetReason())
	f.setFaults(all, backendserver.FaultSet{})
	move, _ := f.awaitState(apiv1.MoveState_MOVE_STATE_DONE, deadline+watchTime)
	t.Log(move.Reason)
}

// TestOneOfTwoConcurrentMovesIsAccepted starts two moves of one service at the same time.
func TestOneOfTwoConcurrentMovesIsAccepted(t *testing.T) {
	f := newFixture(t)
	errs := make([]error, 2)
	var tasks sync.WaitGroup
	for i, version := range []string{newVersion, "v3"} {
		tasks.Go(func() { _, errs[i] = f.d.CLI(f.ctx, "move", "start", service, version, "--deadline", "1m") })
	}
	tasks.Wait()
	require.NotEqual(t, errs[0] == nil, errs[1] == nil, "%v, %v", errs[0], errs[1])
}
