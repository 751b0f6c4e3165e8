package cli

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func statusCommand(s *session) *command {
	return &command{
		name: "status", synopsis: "show each control instance: leader, term, log and version", session: s,
		run: func(ctx context.Context, s *session, _ []string) error { return status(ctx, s) },
	}
}

// status asks every control instance by itself. It fails only when none answers.
func status(ctx context.Context, s *session) error {
	g, err := s.group()
	if err != nil {
		return err
	}
	var rows [][]string
	answered := 0
	for _, to := range g.endpoints {
		answer, err := tryOnce(ctx, g, to, func(ctx context.Context, to *endpoint) (*apiv1.StatusResponse, error) {
			return to.status.Get(ctx, &apiv1.StatusRequest{})
		})
		if err == nil {
			answered++
		}
		if err == nil && s.options.Output == outputJSON {
			err = s.printer().json(answer, false)
		}
		rows = append(rows, statusRow(to.address, answer, err))
	}
	if answered == 0 {
		return errors.Wrap(errUnreachable, "status")
	}
	if s.options.Output == outputJSON {
		return nil
	}
	return s.printer().table([]string{"ADDRESS", "INSTANCE", "LEADER", "TERM", "COMMITTED", "APPLIED", "VERSION", "VOTERS"}, rows)
}

func statusRow(address string, answer *apiv1.StatusResponse, err error) []string {
	if err != nil {
		return []string{address, "-", "-", "-", "-", "-", "-", err.Error()}
	}
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return []string{
		address, answer.Instance, answer.Leader, number(answer.Term), number(answer.CommitIndex), number(answer.AppliedIndex),
		number(answer.Version), strings.Join(answer.Voters, " "),
	}
}
