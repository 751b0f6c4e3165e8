package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/state"
)

const (
	// moveDeadline is the time within which a move must reach full share.
	moveDeadline = 30 * time.Second
	// moveWatchTime is the time for which a move is still judged after it has reached full share.
	moveWatchTime = 3 * time.Second
	// moveEndTimeout is the time within which the end of a move must be recorded after moveWatchTime.
	moveEndTimeout = 5 * time.Second

	goodVersion = "v2"
	badVersion  = "v3-bad"
	// goodFirstNumber and badFirstNumber are the first instance numbers of these versions, apart from those of the
	// version that the deployment starts with.
	goodFirstNumber = 21
	badFirstNumber  = 31
)

// stepGoodVersion moves a service to a good version, and kills the leader of the control group and a node during the
// move.
func (d *demo) stepGoodVersion(ctx context.Context) (string, error) {
	service := d.layout.Services[1]
	if _, err := d.startVersion(ctx, service, goodVersion, goodFirstNumber); err != nil {
		return "", err
	}
	started := time.Now()
	if err := d.startMove(ctx, service.Name, goodVersion); err != nil {
		return "", err
	}
	if err := d.killLeaderAndNode(ctx); err != nil {
		return "", err
	}
	if err := d.awaitFullShare(ctx, service.Name, goodVersion); err != nil {
		return "", err
	}
	fullShareAfter := time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, moveWatchTime+moveEndTimeout)
	defer cancel()
	if _, err := d.cli.awaitMove(ctx, service.Name, goodVersion, apiv1.MoveState_MOVE_STATE_DONE); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s at full share after %s (deadline %s), done after %s",
		service.Name, formatSeconds(fullShareAfter), formatSeconds(moveDeadline), formatSeconds(time.Since(started))), nil
}

// awaitFullShare waits until a version gets all calls of its service, at most for moveDeadline.
func (d *demo) awaitFullShare(ctx context.Context, service, version string) error {
	ctx, cancel := context.WithTimeout(ctx, moveDeadline)
	defer cancel()
	return poll(ctx, "all calls of "+service+" to go to "+version, func(ctx context.Context) error {
		move, err := d.cli.currentMove(ctx, service, version)
		if err != nil {
			return err
		}
		if move.ShareBp != state.FullShare {
			return errors.Errorf("the move is %s at %d basis points: %s", move.State, move.ShareBp, move.Reason)
		}
		return nil
	})
}

// startVersion starts backend servers of a version, a node beside each, and waits until they are ready.
func (d *demo) startVersion(ctx context.Context, service Service, version string, firstNumber int) ([]Process, error) {
	processes, err := d.startServers(service, version, firstNumber)
	if err != nil {
		return nil, err
	}
	for i := range processes {
		if err := poll(ctx, processes[i].name()+" to be ready", processes[i].checkReady); err != nil {
			return nil, err
		}
	}
	return processes, nil
}

func (d *demo) startMove(ctx context.Context, service, version string) error {
	_, err := d.cli.run(ctx, "move", "start", "--deadline", moveDeadline.String(), "--watch", moveWatchTime.String(), service, version)
	return err
}
