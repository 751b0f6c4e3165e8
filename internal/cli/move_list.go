package cli

import (
	"context"
	"flag"

	apiv1 "samphireflow/api/v1"
)

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
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := fetchMoves(ctx, c, request)
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error {
		var rows [][]string
		for _, move := range response.Moves {
			rows = append(rows, moveRow(move))
		}
		return p.table([]string{"ID", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "ENDED", "OPERATOR", "REASON"}, rows)
	})
}

func fetchMoves(ctx context.Context, c *client, request *apiv1.ListMovesRequest) (*apiv1.ListMovesResponse, error) {
	return readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ListMovesResponse, error) {
		return to.moves.List(ctx, request)
	})
}

func moveRow(move *apiv1.Move) []string {
	return []string{
		move.Id, move.Service, move.FromVersion, move.ToVersion, moveStateText(move.State), shareText(move.ShareBp),
		timeText(move.DeadlineUnixMs), timeText(move.EndedUnixMs), move.Operator, move.Reason,
	}
}
