package moves

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/backendserver"
	"samphireflow/internal/deployment"
	"samphireflow/test/harness"
)

const (
	service    = "shift-desk"
	newVersion = "v2"
	moveID     = "move-under-test"
	// firstNumber is the instance number of the new version's first backend server.
	firstNumber = 21
	deadline    = 40 * time.Second
	watch       = 5 * time.Second
)

// proof is a deployment with calls and a new version that is ready to be moved to.
type proof struct {
	t       *testing.T
	ctx     context.Context
	d       *deployment.Deployment
	traffic *traffic
	fresh   []deployment.Process
}

func newProof(t *testing.T) *proof {
	layout := deployment.Ploughline()
	ctx, d := harness.Start(t, layout)
	p := &proof{t: t, ctx: ctx, d: d, traffic: startTraffic(t, d, layout)}
	started, err := d.StartVersion(service, newVersion, firstNumber)
	require.NoError(t, err)
	for _, process := range started {
		if process.Role == deployment.RoleBackendServer {
			p.fresh = append(p.fresh, process)
		}
	}
	harness.Eventually(ctx, t, "the new version announced", 20*time.Second, func() bool { return p.readyServers() == len(p.fresh) })
	return p
}

func (p *proof) readyServers() int {
	text, err := p.d.CLI(p.ctx, "--output", "json", "instances")
	list := &apiv1.ListMembersResponse{}
	if err != nil || protojson.Unmarshal([]byte(text), list) != nil {
		return 0
	}
	ready := 0
	for _, server := range list.Servers {
		if server.Version == newVersion && server.State == apiv1.ServerState_SERVER_STATE_READY {
			ready++
		}
	}
	return ready
}

// setFaults replaces the faults of backend servers.
func (p *proof) setFaults(servers []deployment.Process, set backendserver.FaultSet) {
	p.t.Helper()
	text, err := json.Marshal(set)
	require.NoError(p.t, err)
	for _, server := range servers {
		response, err := http.Post("http://"+server.AdminAddr+"/faults", "application/json", bytes.NewReader(text))
		require.NoError(p.t, err)
		require.NoError(p.t, response.Body.Close())
		require.Equal(p.t, http.StatusOK, response.StatusCode)
	}
}

func (p *proof) startMove(args ...string) {
	p.t.Helper()
	command := []string{"move", "start", service, newVersion, "--id", moveID, "--deadline", deadline.String(), "--watch", watch.String()}
	_, err := p.d.CLI(p.ctx, append(command, args...)...)
	require.NoError(p.t, err)
}

// move returns the move as the operators see it, nil when no control instance answers.
func (p *proof) move() *apiv1.Move {
	text, err := p.d.CLI(p.ctx, "--output", "json", "move", "list")
	list := &apiv1.ListMovesResponse{}
	if err != nil || protojson.Unmarshal([]byte(text), list) != nil {
		return nil
	}
	for _, move := range list.Moves {
		if move.Id == moveID {
			return move
		}
	}
	return nil
}

// await waits for a state and returns the move and when it was seen.
func (p *proof) await(state apiv1.MoveState, timeout time.Duration) (*apiv1.Move, time.Time) {
	p.t.Helper()
	var move *apiv1.Move
	harness.Eventually(p.ctx, p.t, "the move "+state.String(), timeout, func() bool {
		if seen := p.move(); seen != nil {
			move = seen
		}
		return move.GetState() == state || move.GetEndedUnixMs() != 0
	})
	require.Equal(p.t, state, move.State, move.Reason)
	return move, time.Now()
}

// requireQuiet checks that the new version got no call later than some seconds after its move was seen to have ended,
// and how many of its calls were answered badly.
func (p *proof) requireQuiet(move *apiv1.Move, seen time.Time, largestShare float64) {
	p.t.Helper()
	const quiet, callsAfter = 2 * time.Second, 400
	p.awaitCalls(seen.Add(quiet), callsAfter)
	require.False(p.t, p.traffic.lastOf(newVersion, "").After(seen.Add(quiet)), "calls to a version after it was taken back")
	started := time.UnixMilli(move.StartedUnixMs)
	all := p.traffic.count(func(a answered) bool { return a.at.After(started) && a.at.Before(seen) })
	fresh := p.traffic.count(func(a answered) bool { return a.at.After(started) && a.version == newVersion })
	bad := p.traffic.count(func(a answered) bool { return a.at.After(started) && a.version == newVersion && a.failed })
	share := float64(fresh) / float64(max(all, 1))
	p.t.Logf("%s after %.1f s: %s; %d of %d calls (%.1f%%) were answered by the new version, %d of them badly; last one %.2f s before the end was seen",
		move.State, seen.Sub(started).Seconds(), move.Reason, fresh, all, 100*share, bad, seen.Sub(p.traffic.lastOf(newVersion, "")).Seconds())
	require.LessOrEqual(p.t, share, largestShare)
}

// awaitCalls waits until a count of calls has been answered after a time.
func (p *proof) awaitCalls(after time.Time, count int) {
	p.t.Helper()
	harness.Eventually(p.ctx, p.t, "further calls", time.Minute, func() bool {
		return p.traffic.count(func(a answered) bool { return a.at.After(after) }) >= count
	})
}

func part(rate float64) *float64 { return &rate }

func errorsAt(rate float64, path string) backendserver.FaultSet {
	return backendserver.FaultSet{
		Faults: []backendserver.Fault{{Kind: backendserver.FaultError, Rate: part(rate), Path: path}},
		Health: backendserver.HealthFault{Report: "good"},
	}
}
