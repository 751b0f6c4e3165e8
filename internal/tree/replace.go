package tree

import (
	"slices"
	"sort"

	apiv1 "samphireflow/api/v1"
)

// ReplaceServices returns the edits that replace the services, routes and customers of the tree by the wanted ones and set
// the wanted global settings. Site and resource branches, other global settings and the versions of services stay as they
// are. Unchanged branches need no edit and are omitted.
func (t *Tree) ReplaceServices(wanted []*apiv1.Branch) ([]*apiv1.BranchEdit, []*apiv1.Fault) {
	var edits []*apiv1.BranchEdit
	var faults []*apiv1.Fault
	listed := make(map[Path]bool, len(wanted))
	for _, branch := range wanted {
		path, err := ParsePath(branch.Path)
		switch {
		case err != nil:
			faults = append(faults, &apiv1.Fault{Path: branch.Path, Message: err.Error()})
			continue
		case listed[path]:
			faults = append(faults, &apiv1.Fault{Path: branch.Path, Message: "is named twice"})
			continue
		}
		listed[path] = true
		if edit := t.replaceBranch(path, branch); edit != nil {
			edits = append(edits, edit)
		}
	}
	return append(t.removeUnlisted(listed), edits...), faults
}

// replaceBranch returns the edit that gives a branch the wanted settings, or nil if it has them.
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
	if current != nil {
		edit.Changes = append(edit.Changes, current.unsetOthers(wanted.Settings)...)
	}
	if current != nil && len(edit.Changes) == 0 {
		return nil
	}
	return edit
}

// documentKeys are the keys of global settings that stay in force only while a document comes with them.
var documentKeys = []string{KeyCallerAuthenticated, KeyAdmissionInnerCalls}

// unsetOthers returns the changes that unset all keys that are not wanted, sorted by key. The version of a service stays, and
// so do global settings, but for documentKeys.
func (b *Branch) unsetOthers(wanted []*apiv1.Setting) []*apiv1.Change {
	var changes []*apiv1.Change
	for key := range b.values {
		kept := key == KeyServiceVersion || b.Path.Level == LevelGlobal && !slices.Contains(documentKeys, key) || slices.ContainsFunc(wanted, func(s *apiv1.Setting) bool { return s.Key == key })
		if !kept {
			changes = append(changes, &apiv1.Change{Key: key, Unset: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// sameValue reports whether a value, which need not be in canonical form, equals a canonical value.
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

// removeUnlisted returns the edits that remove the services, routes and customers that are not listed. Removing a service
// also removes its routes.
func (t *Tree) removeUnlisted(listed map[Path]bool) []*apiv1.BranchEdit {
	var edits []*apiv1.BranchEdit
	for path, branch := range t.branches {
		service := Path{Level: LevelService, Service: path.Service}
		isOwnBranch := path.Level == LevelService || path.Level == LevelCustomer
		isRouteOfListedService := path.Level == LevelRoute && listed[service]
		if (isOwnBranch || isRouteOfListedService) && !listed[path] {
			edits = append(edits, &apiv1.BranchEdit{Path: path.String(), BaseVersion: branch.Version, Remove: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Path < edits[j].Path })
	return edits
}
