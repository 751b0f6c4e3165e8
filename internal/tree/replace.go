package tree

import (
	"slices"
	"sort"

	apiv1 "samphireflow/api/v1"
)

// ReplaceServices returns the edit that makes the services and routes of the tree those that are wanted, and sets the
// wanted global settings. Sites, resources, the versions of services and what the global branch sets besides stay.
// Branches that do not change are left out.
func (t *Tree) ReplaceServices(wanted []*apiv1.Branch) ([]*apiv1.BranchEdit, []*apiv1.Fault) {
	var edits []*apiv1.BranchEdit
	var faults []*apiv1.Fault
	named := make(map[Path]bool, len(wanted))
	for _, branch := range wanted {
		path, err := ParsePath(branch.Path)
		switch {
		case err != nil:
			faults = append(faults, &apiv1.Fault{Path: branch.Path, Message: err.Error()})
			continue
		case named[path]:
			faults = append(faults, &apiv1.Fault{Path: branch.Path, Message: "is named twice"})
			continue
		}
		named[path] = true
		if edit := t.replaceBranch(path, branch); edit != nil {
			edits = append(edits, edit)
		}
	}
	return append(t.removeUnnamed(named), edits...), faults
}

// replaceBranch returns the edit of one branch, nil when it is as wanted.
func (t *Tree) replaceBranch(path Path, wanted *apiv1.Branch) *apiv1.BranchEdit {
	current := t.branches[path]
	edit := &apiv1.BranchEdit{Path: wanted.Path}
	if current != nil {
		edit.BaseVersion = current.Version
	}
	for _, setting := range wanted.Settings {
		if value, ok := current.Get(setting.Key); !ok || !sameValue(setting.Key, value, setting.Value) {
			edit.Changes = append(edit.Changes, &apiv1.Change{Key: setting.Key, Value: setting.Value})
		}
	}
	if current != nil && path.Level != LevelGlobal {
		edit.Changes = append(edit.Changes, current.unsetOthers(wanted.Settings)...)
	}
	if current != nil && len(edit.Changes) == 0 {
		return nil
	}
	return edit
}

// unsetOthers lists the changes that unset the keys which are not wanted, sorted by key. The version of a service stays.
func (b *Branch) unsetOthers(wanted []*apiv1.Setting) []*apiv1.Change {
	var changes []*apiv1.Change
	for key := range b.values {
		kept := key == KeyServiceVersion || slices.ContainsFunc(wanted, func(s *apiv1.Setting) bool { return s.Key == key })
		if !kept {
			changes = append(changes, &apiv1.Change{Key: key, Unset: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// sameValue compares a canonical value with one that may be written otherwise.
func sameValue(key, canonical, value string) bool {
	if canonical == value {
		return true
	}
	spec, ok := SpecOf(key)
	if !ok {
		return false
	}
	text, err := spec.Canonical(value)
	return err == nil && text == canonical
}

// removeUnnamed lists the services and routes that are not named; a service takes its routes with it.
func (t *Tree) removeUnnamed(named map[Path]bool) []*apiv1.BranchEdit {
	var edits []*apiv1.BranchEdit
	for path, branch := range t.branches {
		service := Path{Level: LevelService, Service: path.Service}
		whole := path.Level == LevelService
		single := path.Level == LevelRoute && named[service]
		if (whole || single) && !named[path] {
			edits = append(edits, &apiv1.BranchEdit{Path: path.String(), BaseVersion: branch.Version, Remove: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Path < edits[j].Path })
	return edits
}
