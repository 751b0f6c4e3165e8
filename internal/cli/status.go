package cli

import (
	"context"
	"strconv"
	"strings"

	apiv1 "samphireflow/api/v1"
)

func statusCommand(s *session) *command {
	return &command{
		name: "status", synopsis: "show each control instance: leader, term, log and version", session: s,
		run: func(ctx context.Context, s *session, _ []string) error { return status(ctx, s) },
	}
}

func status(ctx context.Context, s *session) error {
	header := []string{"ADDRESS", "INSTANCE", "LEADER", "TERM", "COMMITTED", "APPLIED", "VERSION", "VOTERS"}
	return queryEach(ctx, s, "status", header, func(ctx context.Context, to *endpoint) (*apiv1.StatusResponse, error) {
		return to.status.Get(ctx, &apiv1.StatusRequest{})
	}, statusRow)
}

func statusRow(address string, response *apiv1.StatusResponse, err error) []string {
	if err != nil {
		return []string{address, "-", "-", "-", "-", "-", "-", err.Error()}
	}
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return []string{
		address, response.Instance, response.Leader, number(response.Term), number(response.CommitIndex), number(response.AppliedIndex),
		number(response.Version), strings.Join(response.Voters, " "),
	}
}
