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
	// deadline is the time in which a move must reach full share.
	deadline = 40 * time.Second
	// watchTime is the time for which a move is watched at full share.
	watchTime = 5 * time.Second
)

// fixture is a running deployment under load with a new version of a service to which a move can start.
type fixture struct {
	t          *testing.T
	ctx        context.Context
	d          *deployment.Deployment
	calls      *loadGenerator
	newServers []deployment.Process
}

func newFixture(t *testing.T) *fixture {
	layout := deployment.Ploughline()
	ctx, d := harness.Start(t, layout)
	f := &fixture{t: t, ctx: ctx, d: d, calls: startLoadGenerator(t, d, layout)}
	started, err := d.StartVersion(service, newVersion, firstNumber)
	require.NoError(t, err)
	for _, process := range started {
		if process.Role == deployment.RoleBackendServer {
			f.newServers = append(f.newServers, process)
		}
	}
	harness.Eventually(ctx, t, "the new version announced", 20*time.Second, func() bool { return f.readyServers() == len(f.newServers) })
	return f
}

// readyServers returns the number of backend servers of the new version that are listed as ready.
func (f *fixture) readyServers() int {
	text, err := f.d.CLI(f.ctx, "--output", "json", "instances")
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

// setFaults replaces the injected faults of the backend servers.
func (f *fixture) setFaults(servers []deployment.Process, set backendserver.FaultSet) {
	f.t.Helper()
	text, err := json.Marshal(set)
	require.NoError(f.t, err)
	for _, server := range servers {
		response, err := http.Post("http://"+server.AdminAddr+"/faults", "application/json", bytes.NewReader(text))
		require.NoError(f.t, err)
		require.NoError(f.t, response.Body.Close())
		require.Equal(f.t, http.StatusOK, response.StatusCode)
	}
}

func (f *fixture) startMove(args ...string) {
	f.t.Helper()
	command := []string{"move", "start", service, newVersion, "--id", moveID, "--deadline", deadline.String(), "--watch", watchTime.String()}
	_, err := f.d.CLI(f.ctx, append(command, args...)...)
	require.NoError(f.t, err)
}

// move returns the move as the command-line tool lists it, nil if it is not listed or the tool fails.
func (f *fixture) move() *apiv1.Move {
	text, err := f.d.CLI(f.ctx, "--output", "json", "move", "list")
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

// awaitState waits until the move is in a state and returns it with the time of that observation. It fails the test if
// the move ends in another state.
func (f *fixture) awaitState(state apiv1.MoveState, timeout time.Duration) (*apiv1.Move, time.Time) {
	f.t.Helper()
	var move *apiv1.Move
	harness.Eventually(f.ctx, f.t, "the move "+state.String(), timeout, func() bool {
		if latest := f.move(); latest != nil {
			move = latest
		}
		return move.GetState() == state || move.GetEndedUnixMs() != 0
	})
	require.Equal(f.t, state, move.State, move.Reason)
	return move, time.Now()
}

// requireNoLateCalls checks that the new version answered no call later than a grace period after the end of its move
// was observed, and that it answered at most maxShare of all calls.
func (f *fixture) requireNoLateCalls(move *apiv1.Move, endSeen time.Time, maxShare float64) {
	f.t.Helper()
	const grace, minCalls = 2 * time.Second, 400
	f.awaitAnsweredCalls(endSeen.Add(grace), minCalls)
	require.False(f.t, f.calls.lastAnswer(newVersion, "").After(endSeen.Add(grace)), "calls to the new version after its move ended")
	started := time.UnixMilli(move.StartedUnixMs)
	all := f.calls.count(func(a answeredCall) bool { return a.at.After(started) && a.at.Before(endSeen) })
	newVersionCalls := f.calls.count(func(a answeredCall) bool { return a.at.After(started) && a.version == newVersion })
	failed := f.calls.count(func(a answeredCall) bool { return a.at.After(started) && a.version == newVersion && a.failed })
	share := float64(newVersionCalls) / float64(max(all, 1))
	f.t.Logf("%s after %.1f s: %s; %d of %d calls (%.1f%%) were answered by the new version, %d of them failed; last one %.2f s before the end was observed",
		move.State, endSeen.Sub(started).Seconds(), move.Reason, newVersionCalls, all, 100*share, failed, endSeen.Sub(f.calls.lastAnswer(newVersion, "")).Seconds())
	require.LessOrEqual(f.t, share, maxShare)
}

// awaitAnsweredCalls waits until count calls have been answered after a time.
func (f *fixture) awaitAnsweredCalls(after time.Time, count int) {
	f.t.Helper()
	harness.Eventually(f.ctx, f.t, "further calls", time.Minute, func() bool {
		return f.calls.count(func(a answeredCall) bool { return a.at.After(after) }) >= count
	})
}

func ratePointer(rate float64) *float64 { return &rate }

// errorFaults returns faults that make a share of the calls to a path fail while the health reports stay good. An empty
// path matches every call.
func errorFaults(rate float64, path string) backendserver.FaultSet {
	return backendserver.FaultSet{
		Faults: []backendserver.Fault{{Kind: backendserver.FaultError, Rate: ratePointer(rate), Path: path}},
		Health: backendserver.HealthFault{Report: "good"},
	}
}
