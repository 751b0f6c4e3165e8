package cli

import (
	"context"
	"flag"
	"strconv"
	"strings"
	"time"

	apiv1 "samphireflow/api/v1"
)

const defaultHistoryLimit = 20

func historyCommand(s *session) *command {
	request := &apiv1.HistoryRequest{}
	var limit uint
	return &command{
		name: "history", args: "[--limit N] [--before VERSION] [--stale]", synopsis: "list accepted versions, newest first",
		session: s,
		flags: func(flags *flag.FlagSet) {
			flags.UintVar(&limit, "limit", defaultHistoryLimit, "count of versions")
			flags.Uint64Var(&request.BeforeVersion, "before", 0, "list versions older than this one; 0 for all")
			flags.BoolVar(&request.Stale, "stale", false, "take an answer that may be old when no leader can be reached")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			request.Limit = uint32(limit)
			return history(ctx, s, request)
		},
	}
}

func history(ctx context.Context, s *session, request *apiv1.HistoryRequest) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.HistoryResponse, error) {
		return to.config.History(ctx, request)
	})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error { return printHistory(p, response) })
}

func printHistory(p *printer, response *apiv1.HistoryResponse) error {
	var rows [][]string
	for _, entry := range response.Entries {
		source := entry.EditId
		if entry.MoveId != "" {
			source = "move " + entry.MoveId
		}
		rows = append(rows, []string{
			strconv.FormatUint(entry.Version, 10), timeText(entry.AcceptedUnixMs), entry.Operator, source,
			changedPaths(entry.Branches), entryText(entry),
		})
	}
	return p.table([]string{"VERSION", "ACCEPTED", "OPERATOR", "BY", "BRANCHES", "COMMENT OR DETAIL"}, rows)
}

// entryText returns the operator's comment, or the detail that the control group records for a version that it made itself.
func entryText(entry *apiv1.HistoryEntry) string {
	if entry.Comment != "" {
		return entry.Comment
	}
	return entry.Detail
}

func changedPaths(branches []*apiv1.BranchEdit) string {
	var paths []string
	for _, branch := range branches {
		paths = append(paths, branch.Path)
	}
	return strings.Join(paths, " ")
}

// timeText formats a time in Unix milliseconds as RFC 3339 in UTC. It returns "-" for zero.
func timeText(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}
