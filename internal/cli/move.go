package cli

import (
	"fmt"
	"strconv"

	"github.com/google/subcommands"

	apiv1 "samphireflow/api/v1"
)

func moveCommands(s *session) *commandSet {
	return &commandSet{
		name: "move", synopsis: "start, list, follow and cancel moves of a service to a new version", session: s,
		commands: []subcommands.Command{moveStartCommand(s), moveListCommand(s), moveFollowCommand(s), moveCancelCommand(s)},
	}
}

// moveStateText returns the text for a state of a move.
func moveStateText(state apiv1.MoveState) string {
	switch state {
	case apiv1.MoveState_MOVE_STATE_RUNNING:
		return "running"
	case apiv1.MoveState_MOVE_STATE_WATCHING:
		return "watching"
	case apiv1.MoveState_MOVE_STATE_DONE:
		return "done"
	case apiv1.MoveState_MOVE_STATE_TAKEN_BACK:
		return "taken back"
	case apiv1.MoveState_MOVE_STATE_CANCELLED:
		return "cancelled"
	case apiv1.MoveState_MOVE_STATE_EXPIRED:
		return "expired"
	}
	return "unknown"
}

// shareText formats a share in basis points as a percentage.
func shareText(basisPoints uint32) string {
	const basisPointsPerPercent = 100
	return strconv.FormatFloat(float64(basisPoints)/basisPointsPerPercent, 'f', -1, 64) + "%"
}

// moveLine describes the current state of a move in one line.
func moveLine(move *apiv1.Move) string {
	line := fmt.Sprintf("%s  move %s: %s from %s to %s: %s, share %s", moveTime(move), move.GetId(), move.GetService(),
		move.GetFromVersion(), move.GetToVersion(), moveStateText(move.GetState()), shareText(move.GetShareBp()))
	if move.GetReason() != "" {
		line += ": " + move.GetReason()
	}
	return line
}

// moveTime returns the time at which a move started, last changed its stage or ended, whichever is the latest.
func moveTime(move *apiv1.Move) string {
	return timeText(max(move.GetStartedUnixMs(), move.GetStageUnixMs(), move.GetEndedUnixMs()))
}
