package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

func setCommand(s *session) *command {
	var comment string
	return &command{
		name: "set", args: "PATH KEY=VALUE... [--comment TEXT]", synopsis: "set keys of one branch",
		minArgs: 1, maxArgs: -1, session: s,
		flags: func(flags *flag.FlagSet) { registerComment(flags, &comment) },
		run: func(ctx context.Context, s *session, args []string) error {
			return editBranch(ctx, s, args[0], args[1:], parseAssignment, comment)
		},
	}
}

func unsetCommand(s *session) *command {
	var comment string
	return &command{
		name: "unset", args: "PATH KEY... [--comment TEXT]", synopsis: "unset keys of one branch, which inherits them then",
		minArgs: 2, maxArgs: -1, session: s,
		flags: func(flags *flag.FlagSet) { registerComment(flags, &comment) },
		run: func(ctx context.Context, s *session, args []string) error {
			return editBranch(ctx, s, args[0], args[1:], parseUnset, comment)
		},
	}
}

func registerComment(flags *flag.FlagSet, comment *string) {
	flags.StringVar(comment, "comment", "", "text that the history shows")
}

func editBranch(ctx context.Context, s *session, path string, args []string, parse func(string) (*apiv1.Change, error), comment string) error {
	parsed, err := tree.ParsePath(path)
	if err != nil {
		return usageError(err)
	}
	edit := &apiv1.BranchEdit{Path: parsed.String()}
	for _, arg := range args {
		change, err := parse(arg)
		if err != nil {
			return usageError(err)
		}
		edit.Changes = append(edit.Changes, change)
	}
	e, err := newEditor(ctx, s)
	if err != nil {
		return err
	}
	edit.BaseVersion = e.baseVersion(edit.Path)
	return e.submit(ctx, []*apiv1.BranchEdit{edit}, false, comment)
}

func parseAssignment(arg string) (*apiv1.Change, error) {
	key, value, ok := strings.Cut(arg, "=")
	if !ok {
		return nil, errors.Errorf("%q is not of the form KEY=VALUE", arg)
	}
	if _, known := tree.SpecOf(key); !known {
		return nil, errors.Errorf("%q: unknown key", key)
	}
	return &apiv1.Change{Key: key, Value: value}, nil
}

func parseUnset(key string) (*apiv1.Change, error) {
	if _, known := tree.SpecOf(key); !known {
		return nil, errors.Errorf("%q: unknown key", key)
	}
	return &apiv1.Change{Key: key, Unset: true}, nil
}
