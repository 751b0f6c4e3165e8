package state

import (
	"fmt"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/tree"
)

func (m *Machine) edit(request *apiv1.EditRequest, now int64, term uint64) *apiv1.EditResponse {
	view := m.View()
	next, response := CheckEdit(view, request)
	if response != nil {
		return response
	}
	entry := &apiv1.HistoryEntry{
		EditId:   request.EditId,
		Operator: request.Operator,
		Comment:  request.Comment,
		Branches: request.Branches,
	}
	return m.acceptEdit(view, next, entry, view.Tree.AffectedBranches(request), view.document, now, term)
}

// CheckEdit validates an edit against a view. It returns the edited tree, or the answer that refuses the edit; the other
// result is nil.
func CheckEdit(view *View, request *apiv1.EditRequest) (*tree.Tree, *apiv1.EditResponse) {
	if request.EditId == "" {
		return nil, &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Version: view.Version, Detail: "the edit has no ID"}
	}
	next, conflicts, faults := view.Tree.Apply(request, view.Version+1)
	if len(conflicts) > 0 {
		return nil, &apiv1.EditResponse{
			Outcome:   apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
			Version:   view.Version,
			Conflicts: conflicts,
			Detail:    "a branch has changed since the base version",
		}
	}
	if len(faults) == 0 {
		faults = versionFaults(view, next)
	}
	if len(faults) > 0 {
		return nil, &apiv1.EditResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID,
			Version: view.Version,
			Faults:  faults,
			Detail:  FaultsDetail(faults),
		}
	}
	return next, nil
}

// FaultsDetail returns the detail of an answer that refuses a request because of its faults.
func FaultsDetail(faults []*apiv1.Fault) string {
	return fmt.Sprintf("%d faults", len(faults))
}

// versionFaults returns a fault for each service whose version an edit would change without a move, and for each service
// that it would remove during a move.
func versionFaults(view *View, next *tree.Tree) []*apiv1.Fault {
	var faults []*apiv1.Fault
	for _, branch := range view.Tree.AtLevel(tree.LevelService) {
		before, had := branch.Get(tree.KeyServiceVersion)
		after := next.Branch(branch.Path)
		if after == nil {
			if view.ActiveMove(branch.Path.Service) != nil {
				faults = append(faults, &apiv1.Fault{Path: branch.Path.String(), Message: "the service has a running move"})
			}
			continue
		}
		if now, _ := after.Get(tree.KeyServiceVersion); had && now != before {
			faults = append(faults, &apiv1.Fault{
				Path:    branch.Path.String(),
				Key:     tree.KeyServiceVersion,
				Message: "is set already; a move changes the version of a service",
			})
		}
	}
	return faults
}

// acceptEdit makes a changed tree and a document the next version, and appends the change to the history. The branches
// in before allow the history to undo the change.
func (m *Machine) acceptEdit(view *View, changed *tree.Tree, entry *apiv1.HistoryEntry, before []*apiv1.Branch, document *apiv1.Document, now int64, term uint64) *apiv1.EditResponse {
	next := view.next(term)
	next.Tree = changed
	next.document = document
	next.versions = existingServiceVersions(view.versions, changed)
	entry.Version = next.Version
	entry.AcceptedUnixMs = now
	entry.Before = before
	next.history = view.history.with(entry)
	m.setView(next)
	return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_ACCEPTED, Version: next.Version}
}

// existingServiceVersions returns a copy of the versions without those of services that the tree no longer has.
func existingServiceVersions(versions map[string]string, changed *tree.Tree) map[string]string {
	kept := make(map[string]string, len(versions))
	for service, version := range versions {
		if changed.Branch(tree.Path{Level: tree.LevelService, Service: service}) != nil {
			kept[service] = version
		}
	}
	return kept
}

// revert restores the tree of an older version by an edit that makes the difference.
func (m *Machine) revert(request *apiv1.RevertRequest, now int64, term uint64) *apiv1.EditResponse {
	view := m.View()
	if request.BaseVersion != view.Version {
		return &apiv1.EditResponse{
			Outcome: apiv1.EditOutcome_EDIT_OUTCOME_CONFLICT,
			Version: view.Version,
			Detail:  fmt.Sprintf("version %d is in force, the revert was based on %d", view.Version, request.BaseVersion),
		}
	}
	target, ok := view.TreeAt(request.ToVersion)
	if !ok {
		return &apiv1.EditResponse{Outcome: apiv1.EditOutcome_EDIT_OUTCOME_INVALID, Version: view.Version, Detail: "the history does not hold this version"}
	}
	return m.edit(&apiv1.EditRequest{
		EditId:   request.EditId,
		Operator: request.Operator,
		Comment:  fmt.Sprintf("revert to version %d", request.ToVersion),
		Branches: view.Tree.RevertEdit(target),
	}, now, term)
}
