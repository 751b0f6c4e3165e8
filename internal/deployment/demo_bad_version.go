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
	// badErrorRate is the share of calls that a bad version fails.
	badErrorRate = 0.5
	// badCallsTarget is the share of a service's calls that a bad version may get until it is taken back.
	badCallsTarget = 0.10
	// quietTarget is the time after which a version that was taken back gets no calls.
	quietTarget = 3 * time.Second
)

// stepBadVersion moves a service to a version that fails half of its calls.
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
	moveCtx, cancel := context.WithTimeout(ctx, moveDeadline+moveWatch)
	defer cancel()
	if _, err := d.cli.awaitMove(moveCtx, service.Name, badVersion, apiv1.MoveState_MOVE_STATE_TAKEN_BACK); err != nil {
		return "", err
	}
	takenBack := time.Now()
	all := d.countService(service.Name, "").calls - before.calls
	bad := d.countService(service.Name, badVersion).calls
	return d.judgeBadVersion(ctx, service.Name, float64(bad)/float64(max(all, 1)), takenBack, takenBack.Sub(started))
}

func (d *demo) judgeBadVersion(ctx context.Context, service string, share float64, takenBack time.Time, took time.Duration) (string, error) {
	if err := wait(ctx, quietTarget+time.Second); err != nil {
		return "", err
	}
	quiet := max(d.traffic.tally.lastAnswer(service, badVersion).Sub(takenBack), 0)
	figure := fmt.Sprintf("%s taken back after %s; it got %.1f%% of calls, none from %s on", service, seconds(took), 100*share, seconds(quiet))
	if share > badCallsTarget {
		return figure, errors.Errorf("the bad version got %.1f%% of the calls", 100*share)
	}
	if quiet > quietTarget {
		return figure, errors.Errorf("the bad version got calls %s after it was taken back", seconds(quiet))
	}
	return figure, nil
}

// countService counts the calls of a service that a version answered; an empty version counts all.
func (d *demo) countService(service, version string) count {
	return d.traffic.tally.sum(func(s served) bool {
		return s.service == service && (version == "" || s.version == version)
	})
}
