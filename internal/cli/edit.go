package cli

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/document"
)

// editor proposes edits made from what the tree holds now.
type editor struct {
	session *session
	group   *group
	current *apiv1.ShowResponse
	byPath  map[string]*apiv1.Branch
	// source gives the positions of faults; nil for an edit from the command line.
	source *document.Document
}

// newEditor reads the tree, whose branch versions become the base versions of the edit.
func newEditor(ctx context.Context, s *session) (*editor, error) {
	g, err := s.group()
	if err != nil {
		return nil, err
	}
	current, err := fetchBranches(ctx, g, &apiv1.ShowRequest{Path: "/"})
	if err != nil {
		return nil, errors.Wrap(err, "read the tree before the edit")
	}
	e := &editor{session: s, group: g, current: current, byPath: map[string]*apiv1.Branch{}}
	for _, branch := range current.Branches {
		e.byPath[branch.Path] = branch
	}
	return e, nil
}

// baseVersion returns the version of a branch, 0 when there is none.
func (e *editor) baseVersion(path string) uint64 {
	return e.byPath[path].GetVersion()
}

// value returns what a branch itself sets for a key.
func (e *editor) value(path, key string) (string, bool) {
	for _, setting := range e.byPath[path].GetSettings() {
		if setting.Key == key {
			return setting.Value, true
		}
	}
	return "", false
}

// propose sends an edit under a new ID and prints the answer.
func (e *editor) propose(ctx context.Context, branches []*apiv1.BranchEdit, dryRun bool, comment string) error {
	request := &apiv1.EditRequest{
		EditId:   newID(),
		Operator: e.session.options.Operator,
		Comment:  comment,
		Branches: branches,
		DryRun:   dryRun,
	}
	answer, err := sendEdit(ctx, e.group, func(ctx context.Context, to *endpoint) (*apiv1.EditResponse, error) {
		return to.config.Edit(ctx, request)
	})
	if err != nil {
		return errors.Wrapf(err, "edit %s", request.EditId)
	}
	return e.report(request.EditId, answer, dryRun)
}

// sendEdit resends an edit with the same ID while its fate is not known or it was not accepted for want of a leader.
func sendEdit(ctx context.Context, g *group, try attempt[*apiv1.EditResponse]) (*apiv1.EditResponse, error) {
	return send(ctx, g, try, func(answer *apiv1.EditResponse) bool { return finalOutcome(answer.Outcome) })
}

func finalOutcome(outcome apiv1.EditOutcome) bool {
	return outcome != apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN && outcome != apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED
}

func (e *editor) report(id string, answer *apiv1.EditResponse, dryRun bool) error {
	s := e.session
	if s.options.Output == outputJSON {
		if err := s.printer().json(answer, true); err != nil {
			return err
		}
	}
	switch answer.Outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED:
		return reportAccepted(s, id, answer, dryRun)
	case apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
		e.printConflicts(answer.Conflicts)
	case apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		e.printFaults(answer.Faults)
	}
	return outcomeError("edit "+id, answer.Outcome, answer.Detail)
}

func reportAccepted(s *session, id string, answer *apiv1.EditResponse, dryRun bool) error {
	if s.options.Output == outputJSON {
		return nil
	}
	if dryRun {
		return s.printer().line("the edit is valid; nothing was changed")
	}
	return s.printer().line("accepted as version %d (edit %s)", answer.Version, id)
}

// outcomeError turns an outcome other than accepted into an error with its exit code.
func outcomeError(what string, outcome apiv1.EditOutcome, detail string) error {
	if detail != "" {
		detail = ": " + detail
	}
	switch outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
		return &exitError{status: ExitConflict, cause: errors.Errorf("%s: conflict, nothing was changed%s", what, detail)}
	case apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		return errors.Errorf("%s: refused, nothing was changed%s", what, detail)
	case apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED:
		return errors.Errorf("%s: not accepted, nothing was changed%s", what, detail)
	}
	return &exitError{status: ExitUnknown, cause: errors.Errorf("%s: it is not known whether it took effect%s", what, detail)}
}

func settingText(value string, ok bool) string {
	if !ok {
		return "not set"
	}
	return strconv.Quote(value)
}
