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

// smallShare is the largest share of calls that a version that is bad at once may get until it is taken back.
const smallShare = 0.1

func TestBadVersionIsTakenBack(t *testing.T) {
	slow := backendserver.FaultSet{Faults: []backendserver.Fault{{Kind: backendserver.FaultDelay, Delay: backendserver.Duration(60 * time.Millisecond)}}}
	for name, faults := range map[string]backendserver.FaultSet{
		"failing, with good health reports": errorsAt(0.4, ""),
		"failing on one route":              errorsAt(1, "/shifts"),
		"slow":                              slow,
		"crashing": {Faults: []backendserver.Fault{
			{Kind: backendserver.FaultCrash, Rate: part(0.2)},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProof(t)
			p.setFaults(p.fresh, faults)
			p.startMove()
			move, seen := p.awaitEnd(deadline + watch)
			require.Contains(t, []apiv1.MoveState{apiv1.MoveState_MOVE_STATE_TAKEN_BACK, apiv1.MoveState_MOVE_STATE_EXPIRED}, move.State, move.Reason)
			p.requireQuiet(move, seen, smallShare)
		})
	}
}

// awaitEnd waits until the move has ended in any state.
func (p *proof) awaitEnd(timeout time.Duration) (*apiv1.Move, time.Time) {
	p.t.Helper()
	var move *apiv1.Move
	harness.Eventually(p.ctx, p.t, "the end of the move", timeout, func() bool {
		move = p.move()
		return move.GetEndedUnixMs() != 0
	})
	return move, time.Now()
}

func TestVersionThatFailsWhenWholeIsTakenBack(t *testing.T) {
	p := newProof(t)
	p.startMove("--watch", "30s")
	p.await(apiv1.MoveState_MOVE_STATE_WATCHING, deadline)
	p.setFaults(p.fresh, errorsAt(0.4, ""))
	struck := time.Now()
	move, seen := p.await(apiv1.MoveState_MOVE_STATE_TAKEN_BACK, 30*time.Second)
	t.Logf("taken back %.1f s after the first fault", seen.Sub(struck).Seconds())
	p.requireQuiet(move, seen, 1)
}

func TestGoodVersionIsWholeThoughTheLeaderAndADomainAreLost(t *testing.T) {
	p := newProof(t)
	p.startMove()
	p.awaitStage(1)
	require.NoError(t, p.d.Kill(p.leader()))
	p.awaitStage(2)
	require.NoError(t, p.d.PartitionDomains(p.ctx, "burnie"))
	p.awaitCalls(time.Now(), 900)
	require.NoError(t, p.d.PartitionDomains(p.ctx))
	move, seen := p.await(apiv1.MoveState_MOVE_STATE_DONE, deadline+watch)
	require.LessOrEqual(t, seen.Add(-watch-2*time.Second).UnixMilli(), move.DeadlineUnixMs)
	t.Logf("done %.1f s after its start: %s", seen.Sub(time.UnixMilli(move.StartedUnixMs)).Seconds(), move.Reason)
}

func (p *proof) awaitStage(stage uint32) {
	p.t.Helper()
	harness.Eventually(p.ctx, p.t, "the next stage", deadline, func() bool { return p.move().GetStage() >= stage })
}

func (p *proof) leader() deployment.Process {
	p.t.Helper()
	for _, control := range harness.ByRole(p.d, deployment.RoleControl) {
		client := apiv1.NewStatusProtobufClient("http://"+control.ControlAddr, p.traffic.client)
		status, err := client.Get(p.ctx, &apiv1.StatusRequest{})
		if err == nil && status.Leader == control.Instance {
			return control
		}
	}
	p.t.Fatal("no control instance says that it leads")
	return deployment.Process{}
}

// The nodes of a failure domain that is cut off hear nothing from control, and stop calls to a failing version by
// themselves.
func TestCutDomainStopsCallsToAFailingVersionByItself(t *testing.T) {
	p := newProof(t)
	p.startMove("--first-share", "0.2")
	p.awaitNewCalls("burnie", 5)
	require.NoError(t, p.d.PartitionDomains(p.ctx, "burnie"))
	p.setFaults(p.fresh, errorsAt(1, ""))
	struck := time.Now()
	harness.Eventually(p.ctx, t, "no call from the cut domain to the failing version", 25*time.Second, func() bool {
		return time.Since(p.lastOrStart("burnie", struck)) > 3*time.Second
	})
	t.Logf("last call of the cut domain %.1f s after the first fault", p.traffic.lastOf(newVersion, "burnie").Sub(struck).Seconds())
	require.NoError(t, p.d.PartitionDomains(p.ctx))
	move, seen := p.awaitEnd(deadline + watch)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_TAKEN_BACK, move.State, move.Reason)
	p.requireQuiet(move, seen, 1)
}

func (p *proof) lastOrStart(domain string, start time.Time) time.Time {
	if last := p.traffic.lastOf(newVersion, domain); last.After(start) {
		return last
	}
	return start
}

func (p *proof) awaitNewCalls(domain string, count int) {
	p.t.Helper()
	harness.Eventually(p.ctx, p.t, "calls to the new version from "+domain, 10*time.Second, func() bool {
		return p.traffic.count(func(a answered) bool { return a.domain == domain && a.version == newVersion }) >= count
	})
}

func TestSomethingBeneathIsNotBlamedOnTheVersion(t *testing.T) {
	p := newProof(t)
	var all []deployment.Process
	for _, server := range harness.ByRole(p.d, deployment.RoleBackendServer) {
		if server.Service == service {
			all = append(all, server)
		}
	}
	p.startMove()
	p.awaitStage(1)
	p.setFaults(all, errorsAt(0.4, ""))
	p.awaitCalls(time.Now(), 1000)
	require.Equal(t, apiv1.MoveState_MOVE_STATE_RUNNING, p.move().GetState(), p.move().GetReason())
	p.setFaults(all, backendserver.FaultSet{})
	move, _ := p.await(apiv1.MoveState_MOVE_STATE_DONE, deadline+watch)
	t.Log(move.Reason)
}

func TestOneOfTwoMovesAtOnceIsAccepted(t *testing.T) {
	p := newProof(t)
	errs := make([]error, 2)
	var tasks sync.WaitGroup
	for i, version := range []string{newVersion, "v3"} {
		tasks.Go(func() { _, errs[i] = p.d.CLI(p.ctx, "move", "start", service, version, "--deadline", "1m") })
	}
	tasks.Wait()
	require.NotEqual(t, errs[0] == nil, errs[1] == nil, "%v, %v", errs[0], errs[1])
}
