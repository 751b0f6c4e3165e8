package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/document"
)

func applyCommand(s *session) *command {
	var file, comment string
	var dryRun bool
	return &command{
		name: "apply", args: "-f FILE [--dry-run] [--comment TEXT]", synopsis: "make the changes of a document as one edit",
		session: s,
		flags: func(flags *flag.FlagSet) {
			registerFile(flags, &file)
			registerComment(flags, &comment)
			flags.BoolVar(&dryRun, "dry-run", false, "check the edit and change nothing")
		},
		run: func(ctx context.Context, s *session, _ []string) error {
			return apply(ctx, s, file, dryRun, comment)
		},
	}
}

func registerFile(flags *flag.FlagSet, file *string) {
	flags.StringVar(file, "f", "", "YAML document")
}

func apply(ctx context.Context, s *session, file string, dryRun bool, comment string) error {
	doc, err := readDocument(s, file)
	if err != nil {
		return err
	}
	e, err := newEditor(ctx, s)
	if err != nil {
		return err
	}
	e.source = doc
	branches := e.branchEdits(doc)
	if len(branches) == 0 {
		return s.printer().noChange(e.current.Version)
	}
	return e.submit(ctx, branches, dryRun, comment)
}

// noChange reports that the tree already holds everything that a document sets.
func (p *printer) noChange(version uint64) error {
	response := &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: version, Detail: "nothing to change"}
	return p.message(response, func() error { return p.line("nothing to change; version %d is in force", version) })
}

func readDocument(s *session, file string) (*document.Document, error) {
	if file == "" {
		return nil, usageError(errors.New("-f FILE is missing"))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError(err)
	}
	doc, problems := document.Parse(file, data)
	for _, problem := range problems {
		fmt.Fprintln(s.stderr, problem)
	}
	if len(problems) > 0 {
		return nil, usageError(errors.Errorf("%s: %d problems, nothing was sent", file, len(problems)))
	}
	return doc, nil
}

// branchEdits returns the edits, one per changed branch, that a document makes to the tree as it was read.
func (e *editor) branchEdits(doc *document.Document) []*apiv1.BranchEdit {
	var edits []*apiv1.BranchEdit
	for _, branch := range doc.Branches {
		if edit := e.branchEdit(branch); edit != nil {
			edits = append(edits, edit)
		}
	}
	return edits
}

// branchEdit returns the edit of one branch of a document, or nil if it changes nothing.
func (e *editor) branchEdit(branch document.Branch) *apiv1.BranchEdit {
	path := branch.Path.String()
	_, exists := e.branchByPath[path]
	edit := &apiv1.BranchEdit{Path: path, BaseVersion: e.baseVersion(path), Remove: branch.Remove}
	if branch.Remove {
		if !exists {
			return nil
		}
		return edit
	}
	for _, setting := range branch.Settings {
		value, set := e.value(path, setting.Key)
		unchanged := set != setting.Unset && value == setting.Value
		if !unchanged {
			edit.Changes = append(edit.Changes, &apiv1.Change{Key: setting.Key, Value: setting.Value, Unset: setting.Unset})
		}
	}
	if exists && len(edit.Changes) == 0 {
		return nil
	}
	return edit
}
