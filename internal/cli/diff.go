package cli

import (
	"context"
	"flag"
	"maps"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

func diffCommand(s *session) *command {
	var file string
	return &command{
		name: "diff", args: "-f FILE | V1 V2", synopsis: "show what a document would change, or what changed between two versions",
		maxArgs: 2, session: s,
		flags: func(flags *flag.FlagSet) { registerFile(flags, &file) },
		run: func(ctx context.Context, s *session, args []string) error {
			if file != "" && len(args) == 0 {
				return diffDocument(ctx, s, file)
			}
			if file == "" && len(args) == 2 {
				return diffVersions(ctx, s, args[0], args[1])
			}
			return usageError(errors.New("usage: diff -f FILE | diff V1 V2"))
		},
	}
}

func diffDocument(ctx context.Context, s *session, file string) error {
	doc, err := readDocument(s, file)
	if err != nil {
		return err
	}
	e, err := newEditor(ctx, s)
	if err != nil {
		return err
	}
	return printEdits(s.printer(), e.current, e.branchEdits(doc))
}

func diffVersions(ctx context.Context, s *session, from, to string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	before, err := fetchVersion(ctx, c, from)
	if err != nil {
		return err
	}
	after, err := fetchVersion(ctx, c, to)
	if err != nil {
		return err
	}
	return printEdits(s.printer(), before, editsBetween(before, after))
}

func fetchVersion(ctx context.Context, c *client, text string) (*apiv1.ShowResponse, error) {
	version, err := parseVersion(text)
	if err != nil {
		return nil, err
	}
	return fetchBranches(ctx, c, &apiv1.ShowRequest{Path: "/", Version: version})
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, usageError(errors.Errorf("%q is not a version", text))
	}
	return version, nil
}

// editsBetween returns the edits that turn one version of the tree into another.
func editsBetween(before, after *apiv1.ShowResponse) []*apiv1.BranchEdit {
	old := branchValues(before)
	var edits []*apiv1.BranchEdit
	for _, branch := range after.Branches {
		values, existed := old[branch.Path]
		delete(old, branch.Path)
		changes := changesBetween(values, branch.Settings)
		if !existed || len(changes) > 0 {
			edits = append(edits, &apiv1.BranchEdit{Path: branch.Path, Changes: changes})
		}
	}
	for _, branch := range before.Branches {
		if _, removed := old[branch.Path]; removed {
			edits = append(edits, &apiv1.BranchEdit{Path: branch.Path, Remove: true})
		}
	}
	return edits
}

// branchValues returns the values of each branch by path and key.
func branchValues(response *apiv1.ShowResponse) map[string]map[string]string {
	values := make(map[string]map[string]string, len(response.Branches))
	for _, branch := range response.Branches {
		values[branch.Path] = settingValues(branch.Settings)
	}
	return values
}

func settingValues(settings []*apiv1.Setting) map[string]string {
	values := make(map[string]string, len(settings))
	for _, setting := range settings {
		values[setting.Key] = setting.Value
	}
	return values
}

func changesBetween(old map[string]string, settings []*apiv1.Setting) []*apiv1.Change {
	var changes []*apiv1.Change
	present := make(map[string]bool, len(settings))
	for _, setting := range settings {
		present[setting.Key] = true
		if value, set := old[setting.Key]; !set || value != setting.Value {
			changes = append(changes, &apiv1.Change{Key: setting.Key, Value: setting.Value})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if !present[key] {
			changes = append(changes, &apiv1.Change{Key: key, Unset: true})
		}
	}
	return changes
}
