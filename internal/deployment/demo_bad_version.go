package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/backendserver"
)

const (
	// badErrorRate is the share of calls that the bad version fails.
	badErrorRate = 0.5
	// badShareTarget is the largest share of its service's calls that the bad version may get until it is rolled back.
	badShareTarget = 0.10
	// lastCallTarget is the time after the rollback within which the bad version gets its last call.
	lastCallTarget = 3 * time.Second
)

// stepBadVersion starts a move of a service to a version that fails half of its calls, and checks that the move is
// rolled back in time.
func (d *demo) stepBadVersion(ctx context.Context) (string, error) {
	service := d.layout.Services[2]
	processes, err := d.startVersion(ctx, service, badVersion, badFirstNumber)
	if err != nil {
		return "", err
	}
	rate := badErrorRate
	faults := backendserver.FaultSet{Faults: []backendserver.Fault{{Kind: backendserver.FaultError, Rate: &rate}}}
	for _, server := range byRole(processes, RoleBackendServer) {
		if err := SetFaults(ctx, server, faults); err != nil {
			return "", err
		}
	}
	before := d.countService(service.Name, "")
	started := time.Now()
	if err := d.startMove(ctx, service.Name, badVersion); err != nil {
		return "", err
	}
	moveCtx, cancel := context.WithTimeout(ctx, moveDeadline+moveWatchTime)
	defer cancel()
	if _, err := d.cli.awaitMove(moveCtx, service.Name, badVersion, apiv1.MoveState_MOVE_STATE_TAKEN_BACK); err != nil {
		return "", err
	}
	rolledBack := time.Now()
	total := d.countService(service.Name, "").calls - before.calls
	bad := d.countService(service.Name, badVersion).calls
	return d.checkBadVersion(ctx, service.Name, float64(bad)/float64(max(total, 1)), rolledBack, rolledBack.Sub(started))
}

// checkBadVersion compares the share and the last call of the bad version with their targets, once it should get no
// more calls.
func (d *demo) checkBadVersion(ctx context.Context, service string, share float64, rolledBack time.Time, timeToRollback time.Duration) (string, error) {
	if err := sleep(ctx, lastCallTarget+time.Second); err != nil {
		return "", err
	}
	lastCallAfter := max(d.traffic.stats.lastResponse(service, badVersion).Sub(rolledBack), 0)
	figures := fmt.Sprintf("%s taken back after %s; it got %.1f%% of calls, the last one %s later", service, formatSeconds(timeToRollback), 100*share, formatSeconds(lastCallAfter))
	if share > badShareTarget {
		return figures, errors.Errorf("the bad version got %.1f%% of the calls", 100*share)
	}
	if lastCallAfter > lastCallTarget {
		return figures, errors.Errorf("the bad version got a call %s after it was taken back", formatSeconds(lastCallAfter))
	}
	return figures, nil
}

// countService counts the calls of a service that the given version answered. An empty version selects all calls.
func (d *demo) countService(service, version string) callCount {
	return d.traffic.stats.sum(func(s callGroup) bool {
		return s.service == service && (version == "" || s.version == version)
	})
}
