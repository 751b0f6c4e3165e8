package tree

import (
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
)

// AffectedBranches returns the current state of the branches that an edit changes, including the descendants of removed
// branches, so that Undo can restore them. A branch that does not exist yet has version 0.
func (t *Tree) AffectedBranches(edit *apiv1.EditRequest) []*apiv1.Branch {
	var list []*apiv1.Branch
	for _, branchEdit := range edit.Branches {
		path, err := ParsePath(branchEdit.Path)
		if err != nil {
			continue
		}
		if branch := t.branches[path]; branch != nil {
			list = append(list, branch.Message())
		} else {
			list = append(list, &apiv1.Branch{Path: branchEdit.Path})
		}
		if branchEdit.Remove {
			list = append(list, t.descendantMessages(path)...)
		}
	}
	return list
}

func (t *Tree) descendantMessages(path Path) []*apiv1.Branch {
	var list []*apiv1.Branch
	for _, branch := range t.Branches() {
		if branch.Path.isDescendantOf(path) {
			list = append(list, branch.Message())
		}
	}
	return list
}

// Undo returns the tree as it was before an edit. The argument is the result of AffectedBranches for that edit.
func (t *Tree) Undo(before []*apiv1.Branch) (*Tree, error) {
	older := t.clone()
	for _, message := range before {
		path, err := ParsePath(message.Path)
		if err != nil {
			return nil, errors.WithMessage(err, "undo")
		}
		if message.Version == 0 && path.Level != LevelGlobal {
			delete(older.branches, path)
			continue
		}
		older.branches[path] = branchFromMessage(path, message)
	}
	return older, nil
}

// RevertEdit returns the branch edits that turn the settings of t into those of target. The versions of services stay as
// they are, because only moves change them, and so do evacuations, which only their own orders change.
func (t *Tree) RevertEdit(target *Tree) []*apiv1.BranchEdit {
	var edits []*apiv1.BranchEdit
	for _, branch := range t.Branches() {
		if target.branches[branch.Path] != nil {
			continue
		}
		if parent, ok := branch.Path.parent(); ok && t.branches[parent] != nil && target.branches[parent] == nil {
			continue
		}
		if branch.Evacuated() {
			if edit := revertBranch(branch, &Branch{Path: branch.Path}); edit != nil {
				edits = append(edits, edit)
			}
			continue
		}
		edits = append(edits, &apiv1.BranchEdit{Path: branch.Path.String(), BaseVersion: branch.Version, Remove: true})
	}
	for _, wanted := range target.Branches() {
		if edit := revertBranch(t.branches[wanted.Path], wanted); edit != nil {
			edits = append(edits, edit)
		}
	}
	return edits
}

func revertBranch(current, wanted *Branch) *apiv1.BranchEdit {
	edit := &apiv1.BranchEdit{Path: wanted.Path.String()}
	if current != nil {
		edit.BaseVersion = current.Version
		for _, setting := range current.Settings() {
			if _, ok := wanted.Get(setting.Key); !ok && setting.Key != KeyServiceVersion && setting.Key != KeySiteEvacuated {
				edit.Changes = append(edit.Changes, &apiv1.Change{Key: setting.Key, Unset: true})
			}
		}
	}
	for _, setting := range wanted.Settings() {
		if setting.Key == KeySiteEvacuated {
			continue
		}
		if text, ok := current.Get(setting.Key); !ok || text != setting.Value {
			edit.Changes = append(edit.Changes, &apiv1.Change{Key: setting.Key, Value: setting.Value})
		}
	}
	if current != nil && len(edit.Changes) == 0 {
		return nil
	}
	return edit
}
