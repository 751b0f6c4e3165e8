package cli

import (
	"context"
	"flag"
	"strconv"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

func explainCommand(s *session) *command {
	var site string
	var reading readFlags
	return &command{
		name: "explain", args: "PATH [--site S] [--stale]", synopsis: "show the settings that hold at a path and which branch set each",
		minArgs: 1, maxArgs: 1, session: s,
		flags: func(flags *flag.FlagSet) {
			reading.registerStale(flags)
			flags.StringVar(&site, "site", "", "site for which the settings are resolved")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			return explain(ctx, s, &apiv1.ExplainRequest{Path: args[0], Site: site, Stale: reading.stale})
		},
	}
}

func explain(ctx context.Context, s *session, request *apiv1.ExplainRequest) error {
	if _, err := tree.ParsePath(request.Path); err != nil {
		return usageError(err)
	}
	g, err := s.group()
	if err != nil {
		return err
	}
	answer, err := read(ctx, g, func(ctx context.Context, to *endpoint) (*apiv1.ExplainResponse, error) {
		return to.config.Explain(ctx, request)
	})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(answer, func() error { return printExplanations(p, answer) })
}

func printExplanations(p *printer, answer *apiv1.ExplainResponse) error {
	var rows [][]string
	for _, setting := range answer.Settings {
		branch, version := setting.Branch, strconv.FormatUint(setting.Version, 10)
		if branch == "" {
			branch, version = "(default)", ""
		}
		rows = append(rows, []string{setting.Key, setting.Value, branch, version, setting.EditId, setting.Operator})
	}
	if err := p.table([]string{"KEY", "VALUE", "SET BY BRANCH", "VERSION", "EDIT", "OPERATOR"}, rows); err != nil {
		return err
	}
	return printFreshness(p, answer.Freshness.GetVersion(), answer.Freshness)
}
