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
	var query readFlags
	return &command{
		name: "explain", args: "PATH [--site S] [--stale]", synopsis: "show the settings that hold at a path and which branch set each",
		minArgs: 1, maxArgs: 1, session: s,
		flags: func(flags *flag.FlagSet) {
			query.registerStale(flags)
			flags.StringVar(&site, "site", "", "site for which the settings are resolved")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			return explain(ctx, s, &apiv1.ExplainRequest{Path: args[0], Site: site, Stale: query.stale})
		},
	}
}

func explain(ctx context.Context, s *session, request *apiv1.ExplainRequest) error {
	if _, err := tree.ParsePath(request.Path); err != nil {
		return usageError(err)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ExplainResponse, error) {
		return to.config.Explain(ctx, request)
	})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error { return printExplanations(p, response) })
}

func printExplanations(p *printer, response *apiv1.ExplainResponse) error {
	var rows [][]string
	for _, setting := range response.Settings {
		branch, version := setting.Branch, strconv.FormatUint(setting.Version, 10)
		if branch == "" {
			branch, version = "(default)", ""
		}
		rows = append(rows, []string{setting.Key, setting.Value, branch, version, setting.EditId, setting.Operator})
	}
	if err := p.table([]string{"KEY", "VALUE", "SET BY BRANCH", "VERSION", "EDIT", "OPERATOR"}, rows); err != nil {
		return err
	}
	return printFreshness(p, response.Freshness.GetVersion(), response.Freshness)
}
