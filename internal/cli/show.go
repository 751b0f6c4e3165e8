package cli

import (
	"context"
	"flag"
	"strconv"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

// readFlags holds the flags of commands that read the tree.
type readFlags struct {
	stale   bool
	version uint64
}

func (r *readFlags) registerStale(flags *flag.FlagSet) {
	flags.BoolVar(&r.stale, "stale", false, "take an answer that may be old when no leader can be reached")
}

func showCommand(s *session) *command {
	var query readFlags
	return &command{
		name: "show", args: "[PATH] [--version N] [--stale]", synopsis: "show the branches at and beneath a path",
		maxArgs: 1, session: s,
		flags: func(flags *flag.FlagSet) {
			query.registerStale(flags)
			flags.Uint64Var(&query.version, "version", 0, "version to show; 0 for the newest")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			path := "/"
			if len(args) == 1 {
				path = args[0]
			}
			return show(ctx, s, path, query)
		},
	}
}

func show(ctx context.Context, s *session, path string, query readFlags) error {
	if _, err := tree.ParsePath(path); err != nil {
		return usageError(err)
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	response, err := fetchBranches(ctx, c, &apiv1.ShowRequest{Path: path, Stale: query.stale, Version: query.version})
	if err != nil {
		return err
	}
	p := s.printer()
	return p.message(response, func() error { return printBranches(p, response) })
}

func fetchBranches(ctx context.Context, c *client, request *apiv1.ShowRequest) (*apiv1.ShowResponse, error) {
	return readWithRetry(ctx, c, func(ctx context.Context, to *endpoint) (*apiv1.ShowResponse, error) {
		return to.config.Show(ctx, request)
	})
}

func printBranches(p *printer, response *apiv1.ShowResponse) error {
	var rows [][]string
	for _, branch := range response.Branches {
		version := strconv.FormatUint(branch.Version, 10)
		if len(branch.Settings) == 0 {
			rows = append(rows, []string{branch.Path, version, "-", "", branch.Operator})
		}
		for _, setting := range branch.Settings {
			rows = append(rows, []string{branch.Path, version, setting.Key, setting.Value, setting.Operator})
		}
	}
	if err := p.table([]string{"BRANCH", "VERSION", "KEY", "VALUE", "OPERATOR"}, rows); err != nil {
		return err
	}
	return printFreshness(p, response.Version, response.Freshness)
}

func printFreshness(p *printer, version uint64, freshness *apiv1.ReadFreshness) error {
	if freshness == nil || freshness.Linearizable {
		return p.line("version %d", version)
	}
	return p.line("version %d, may be old: last known to be the newest %d ms ago at %s", version, freshness.AgeMs, freshness.ServedBy)
}
