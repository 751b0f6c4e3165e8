package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func moveCommands(s *session) *commandSet {
	return &commandSet{
		name: "move", synopsis: "start, list, follow and cancel moves of a service to a new version", session: s,
		commands: []subcommands.Command{moveStartCommand(s), moveListCommand(s), moveFollowCommand(s), moveCancelCommand(s)},
	}
}

func moveListCommand(s *session) *command {
	request := &apiv1.ListMovesRequest{}
	return &command{
		name: "list", args: "[--service S] [--running]", synopsis: "list moves", session: s,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&request.Service, "service", "", "service whose moves are listed; empty for all")
			flags.BoolVar(&request.RunningOnly, "running", false, "list moves that have not ended")
		},
		run: func(ctx context.Context, s *session, _ []string) error { return listMoves(ctx, s, request) },
	}
}

func listMoves(ctx context.Context, s *session, request *apiv1.ListMovesRequest) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	answer, err := fetchMoves(ctx, g, request)
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(answer, func() error {
		var rows [][]string
		for _, move := range answer.Moves {
			rows = append(rows, moveRow(move))
		}
		return p.table([]string{"ID", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "ENDED", "OPERATOR", "REASON"}, rows)
	})
}

func fetchMoves(ctx context.Context, g *group, request *apiv1.ListMovesRequest) (*apiv1.ListMovesResponse, error) {
	return read(ctx, g, func(ctx context.Context, to *endpoint) (*apiv1.ListMovesResponse, error) {
		return to.moves.List(ctx, request)
	})
}

func moveRow(move *apiv1.Move) []string {
	return []string{
		move.Id, move.Service, move.FromVersion, move.ToVersion, stateText(move.State), shareText(move.ShareBp),
		timeText(move.DeadlineUnixMs), timeText(move.EndedUnixMs), move.Operator, move.Reason,
	}
}

// stateText returns a state in words.
func stateText(state apiv1.MoveState) string {
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

// shareText returns a share in basis points as percent.
func shareText(basisPoints uint32) string {
	const basisPointsPerPercent = 100
	return strconv.FormatFloat(float64(basisPoints)/basisPointsPerPercent, 'f', -1, 64) + "%"
}

func moveCancelCommand(s *session) *command {
	return &command{
		name: "cancel", args: "ID", synopsis: "end a running move; the old version takes all calls again",
		minArgs: 1, maxArgs: 1, session: s,
		run: func(ctx context.Context, s *session, args []string) error {
			request := &apiv1.CancelMoveRequest{RequestId: newID(), Operator: s.options.Operator, MoveId: args[0]}
			return sendMove(ctx, s, "cancel of move "+args[0], func(ctx context.Context, to *endpoint) (*apiv1.MoveResponse, error) {
				return to.moves.Cancel(ctx, request)
			})
		},
	}
}

// sendMove sends an idempotent request until its fate is known and prints the move.
func sendMove(ctx context.Context, s *session, what string, try attempt[*apiv1.MoveResponse]) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	answer, err := send(ctx, g, try, func(answer *apiv1.MoveResponse) bool { return finalOutcome(answer.Outcome) })
	if err != nil {
		return errors.Wrap(err, what)
	}
	if answer.Outcome != apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED {
		return outcomeError(what, answer.Outcome, moveRefusal(answer))
	}
	p := s.printer()
	return p.message(answer, func() error { return p.line("%s", moveLine(answer.Move)) })
}

// moveRefusal says why a request was refused and which move holds the service now.
func moveRefusal(answer *apiv1.MoveResponse) string {
	if answer.Move == nil {
		return answer.Detail
	}
	return answer.Detail + "; now: " + moveLine(answer.Move)
}

func moveLine(move *apiv1.Move) string {
	line := fmt.Sprintf("%s  move %s: %s from %s to %s: %s, share %s", moveTime(move), move.GetId(), move.GetService(),
		move.GetFromVersion(), move.GetToVersion(), stateText(move.GetState()), shareText(move.GetShareBp()))
	if move.GetReason() != "" {
		line += ": " + move.GetReason()
	}
	return line
}

func moveTime(move *apiv1.Move) string {
	return timeText(max(move.GetStartedUnixMs(), move.GetStageUnixMs(), move.GetEndedUnixMs()))
}

// parseDeadline reads a duration from now or a time in RFC 3339.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if length, err := time.ParseDuration(text); err == nil {
		return futureTime(text, now.Add(length), now)
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("--deadline %q is neither a duration such as 30m nor a time such as 2026-01-31T04:00:00Z", text)
	}
	return futureTime(text, deadline, now)
}

func futureTime(text string, deadline, now time.Time) (time.Time, error) {
	if !deadline.After(now) {
		return time.Time{}, errors.Errorf("--deadline %q is not in the future", text)
	}
	return deadline, nil
}
