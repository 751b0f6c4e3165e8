package cli

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/document"
)

// editor sends edits that are based on the tree as it was read.
type editor struct {
	session      *session
	client       *client
	current      *apiv1.ShowResponse
	branchByPath map[string]*apiv1.Branch
	// source is the document that the edit comes from, which gives the positions of faults. It is nil for an edit whose
	// changes are arguments of the command.
	source *document.Document
}

// newEditor reads the tree. The versions of its branches become the base versions of the edit.
func newEditor(ctx context.Context, s *session) (*editor, error) {
	c, err := s.client()
	if err != nil {
		return nil, err
	}
	current, err := fetchBranches(ctx, c, &apiv1.ShowRequest{Path: "/"})
	if err != nil {
		return nil, errors.Wrap(err, "read the tree before the edit")
	}
	e := &editor{session: s, client: c, current: current, branchByPath: map[string]*apiv1.Branch{}}
	for _, branch := range current.Branches {
		e.branchByPath[branch.Path] = branch
	}
	return e, nil
}

// baseVersion returns the version of a branch, or 0 if it does not exist.
func (e *editor) baseVersion(path string) uint64 {
	return e.branchByPath[path].GetVersion()
}

// value returns the value that a branch itself sets for a key, without inherited values.
func (e *editor) value(path, key string) (string, bool) {
	for _, setting := range e.branchByPath[path].GetSettings() {
		if setting.Key == key {
			return setting.Value, true
		}
	}
	return "", false
}

// submit sends an edit with a new ID and reports its outcome.
func (e *editor) submit(ctx context.Context, branches []*apiv1.BranchEdit, dryRun bool, comment string) error {
	request := &apiv1.EditRequest{
		EditId:   newID(),
		Operator: e.session.options.Operator,
		Comment:  comment,
		Branches: branches,
		DryRun:   dryRun,
	}
	response, err := sendEdit(ctx, e.client, func(ctx context.Context, to *endpoint) (*apiv1.EditResponse, error) {
		return to.config.Edit(ctx, request)
	})
	if err != nil {
		return errors.Wrapf(err, "edit %s", request.EditId)
	}
	return e.reportOutcome(request.EditId, response, dryRun)
}

// sendEdit sends an edit, and retries it with the same ID while its outcome is unknown or there is no leader to accept it.
func sendEdit(ctx context.Context, c *client, try attempt[*apiv1.EditResponse]) (*apiv1.EditResponse, error) {
	return sendWithRetry(ctx, c, try, func(response *apiv1.EditResponse) bool { return isFinalOutcome(response.Outcome) })
}

// isFinalOutcome reports whether a retry of the same request cannot change the outcome.
func isFinalOutcome(outcome apiv1.EditOutcome) bool {
	return outcome != apiv1.EditOutcome_EDIT_OUTCOME_UNKNOWN && outcome != apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED
}

// reportOutcome prints the response to an edit and returns an error if the edit was not accepted.
func (e *editor) reportOutcome(id string, response *apiv1.EditResponse, dryRun bool) error {
	s := e.session
	if s.options.Output == outputJSON {
		if err := s.printer().json(response, true); err != nil {
			return err
		}
	}
	switch response.Outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED:
		return reportAccepted(s, id, response, dryRun)
	case apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
		e.printConflicts(response.Conflicts)
	case apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		e.printFaults(response.Faults)
	}
	return outcomeError("edit "+id, response.Outcome, response.Detail)
}

func reportAccepted(s *session, id string, response *apiv1.EditResponse, dryRun bool) error {
	if s.options.Output == outputJSON {
		return nil
	}
	if dryRun {
		return s.printer().line("the edit is valid; nothing was changed")
	}
	return s.printer().line("accepted as version %d (edit %s)", response.Version, id)
}

// outcomeError returns the error, with its exit code, for an outcome other than accepted.
func outcomeError(action string, outcome apiv1.EditOutcome, detail string) error {
	if detail != "" {
		detail = ": " + detail
	}
	switch outcome {
	case apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT:
		return &exitError{status: ExitConflict, cause: errors.Errorf("%s: conflict, nothing was changed%s", action, detail)}
	case apiv1.EditOutcome_EDIT_OUTCOME_INVALID:
		return errors.Errorf("%s: refused, nothing was changed%s", action, detail)
	case apiv1.EditOutcome_EDIT_OUTCOME_NOT_ACCEPTED:
		return errors.Errorf("%s: not accepted, nothing was changed%s", action, detail)
	}
	return &exitError{status: ExitUnknown, cause: errors.Errorf("%s: it is not known whether it took effect%s", action, detail)}
}

func settingText(value string, ok bool) string {
	if !ok {
		return "not set"
	}
	return strconv.Quote(value)
}
