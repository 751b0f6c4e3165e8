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
	// moveDeadline is the time that a move gets.
	moveDeadline = 30 * time.Second
	// moveWatch is the time for which a whole move is still judged.
	moveWatch = 3 * time.Second
	// moveEndGrace is the time in which the end of a watched move must be recorded.
	moveEndGrace = 5 * time.Second

	goodVersion = "v2"
	badVersion  = "v3-bad"
	// Instance numbers of later versions start here.
	goodFirstNumber = 21
	badFirstNumber  = 31
)

// stepGoodVersion moves a service to a good version and kills a control instance and a node meanwhile.
func (d *demo) stepGoodVersion(ctx context.Context) (string, error) {
	service := d.layout.Services[1]
	if _, err := d.startVersion(ctx, service, goodVersion, goodFirstNumber); err != nil {
		return "", err
	}
	started := time.Now()
	if err := d.startMove(ctx, service.Name, goodVersion); err != nil {
		return "", err
	}
	if err := d.killSome(ctx); err != nil {
		return "", err
	}
	if err := d.awaitWhole(ctx, service.Name, goodVersion); err != nil {
		return "", err
	}
	whole := time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, moveWatch+moveEndGrace)
	defer cancel()
	if _, err := d.cli.awaitMove(ctx, service.Name, goodVersion, apiv1.MoveState_MOVE_STATE_DONE); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s whole after %s (deadline %s), done after %s",
		service.Name, seconds(whole), seconds(moveDeadline), seconds(time.Since(started))), nil
}

// awaitWhole waits until a version has all calls of its service, at most until the deadline of the move.
func (d *demo) awaitWhole(ctx context.Context, service, version string) error {
	ctx, cancel := context.WithTimeout(ctx, moveDeadline)
	defer cancel()
	return poll(ctx, "all calls of "+service+" to go to "+version, func(ctx context.Context) error {
		move, err := d.cli.currentMove(ctx, service, version)
		if err != nil {
			return err
		}
		if move.ShareBp != state.FullShare {
			return errors.Errorf("it is %s at %d basis points: %s", move.State, move.ShareBp, move.Reason)
		}
		return nil
	})
}

// startVersion starts backend servers of a version and waits until they are ready.
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
	_, err := d.cli.run(ctx, "move", "start", "--deadline", moveDeadline.String(), "--watch", moveWatch.String(), service, version)
	return err
}
