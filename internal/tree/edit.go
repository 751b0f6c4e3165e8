package tree

import (
	"slices"
	"sort"
	"strings"

	apiv1 "samphireflow/api/v1"
)

// Apply returns the tree that results from an edit, at the given new version.
//
// It returns conflicts if a branch has changed since the edit's base version, and faults if the edited tree would
// violate the schema or contain a dangling reference. Edits are atomic: with any conflict or fault, the returned tree
// is nil.
func (t *Tree) Apply(edit *apiv1.EditRequest, version uint64) (*Tree, []*apiv1.BranchConflict, []*apiv1.Fault) {
	if len(edit.Branches) == 0 {
		return nil, nil, []*apiv1.Fault{{Path: "/", Message: "the edit changes no branch"}}
	}
	paths, faults := parsePaths(edit.Branches)
	if len(faults) > 0 {
		return nil, nil, faults
	}
	if conflicts := t.conflicts(edit.Branches, paths); len(conflicts) > 0 {
		return nil, conflicts, nil
	}
	next := t.clone()
	for i, branchEdit := range edit.Branches {
		faults = append(faults, next.applyBranch(paths[i], branchEdit, edit, version)...)
	}
	faults = append(faults, next.referenceFaults()...)
	if len(faults) > 0 {
		return nil, nil, faults
	}
	return next, nil, nil
}

func parsePaths(edits []*apiv1.BranchEdit) ([]Path, []*apiv1.Fault) {
	paths := make([]Path, len(edits))
	seen := make(map[Path]bool, len(edits))
	var faults []*apiv1.Fault
	for i, edit := range edits {
		path, err := ParsePath(edit.Path)
		if err != nil {
			faults = append(faults, &apiv1.Fault{Path: edit.Path, Message: err.Error()})
			continue
		}
		if seen[path] {
			faults = append(faults, &apiv1.Fault{Path: edit.Path, Message: "the edit names this branch twice"})
		}
		seen[path] = true
		paths[i] = path
	}
	return paths, faults
}

func (t *Tree) conflicts(edits []*apiv1.BranchEdit, paths []Path) []*apiv1.BranchConflict {
	var conflicts []*apiv1.BranchConflict
	for i, edit := range edits {
		branch := t.branches[paths[i]]
		if branch == nil {
			branch = &Branch{Path: paths[i]}
		}
		if branch.Version == edit.BaseVersion {
			continue
		}
		conflicts = append(conflicts, &apiv1.BranchConflict{
			Path:           edit.Path,
			BaseVersion:    edit.BaseVersion,
			CurrentVersion: branch.Version,
			WonByEdit:      branch.EditID,
			WonByOperator:  branch.Operator,
			Current:        branch.Settings(),
		})
	}
	return conflicts
}

func (t *Tree) applyBranch(path Path, branchEdit *apiv1.BranchEdit, edit *apiv1.EditRequest, version uint64) []*apiv1.Fault {
	if branchEdit.Remove {
		return t.removeBranch(path)
	}
	branch := t.branches[path]
	if branch == nil {
		branch = &Branch{Path: path}
	}
	branch = branch.clone()
	branch.Version = version
	branch.EditID = edit.EditId
	branch.Operator = edit.Operator
	var faults []*apiv1.Fault
	for _, change := range branchEdit.Changes {
		if fault := branch.applyChange(change, edit, version); fault != nil {
			faults = append(faults, fault)
		}
	}
	t.branches[path] = branch
	return faults
}

func (b *Branch) applyChange(change *apiv1.Change, edit *apiv1.EditRequest, version uint64) *apiv1.Fault {
	fault := func(message string) *apiv1.Fault {
		return &apiv1.Fault{Path: b.Path.String(), Key: change.Key, Message: message}
	}
	spec, ok := specByKey[change.Key]
	if !ok {
		return fault("unknown key")
	}
	if change.Unset {
		delete(b.values, change.Key)
		return nil
	}
	if !spec.allowedAt(b.Path.Level) {
		return fault("the key may not be set on this branch")
	}
	text, err := spec.Canonical(change.Value)
	if err != nil {
		return fault(err.Error())
	}
	b.values[change.Key] = value{text, version, edit.EditId, edit.Operator}
	return nil
}

func (t *Tree) removeBranch(path Path) []*apiv1.Fault {
	if path.Level == LevelGlobal {
		return []*apiv1.Fault{{Path: "/", Message: "the global branch cannot be removed"}}
	}
	if t.branches[path] == nil {
		return []*apiv1.Fault{{Path: path.String(), Message: "there is no such branch"}}
	}
	for other := range t.branches {
		if other == path || other.isDescendantOf(path) {
			delete(t.branches, other)
		}
	}
	return nil
}

// isDescendantOf reports whether ancestor is the parent of p, or the parent of another ancestor of p.
func (p Path) isDescendantOf(ancestor Path) bool {
	for {
		parent, ok := p.parent()
		if !ok {
			return false
		}
		if parent == ancestor {
			return true
		}
		p = parent
	}
}

// referenceFaults checks the rules across branches: the parent of each branch exists, references name existing services
// and resources, routes are complete and do not match the same calls, and no two customers have the same key.
func (t *Tree) referenceFaults() []*apiv1.Fault {
	var faults []*apiv1.Fault
	routes, keys := map[string]string{}, map[string]string{}
	for _, branch := range t.Branches() {
		faults = append(faults, t.branchReferenceFaults(branch)...)
		switch branch.Path.Level {
		case LevelRoute:
			faults = append(faults, routeFaults(branch, routes)...)
		case LevelCustomer:
			faults = append(faults, customerFaults(branch, keys)...)
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

func (t *Tree) branchReferenceFaults(branch *Branch) []*apiv1.Fault {
	var faults []*apiv1.Fault
	path := branch.Path.String()
	if parent, ok := branch.Path.parent(); ok && t.branches[parent] == nil {
		faults = append(faults, &apiv1.Fault{Path: path, Message: "there is no branch " + parent.String()})
	}
	for _, key := range referenceKeys {
		value, ok := branch.Get(key)
		if !ok {
			continue
		}
		for _, target := range referenceTargets(specByKey[key], value) {
			if t.branches[target] == nil {
				faults = append(faults, &apiv1.Fault{Path: path, Key: key, Message: "refers to " + target.String() + ", which does not exist"})
			}
		}
	}
	if branch.Path.Level == LevelService {
		if fallback, _ := branch.Get(KeyFallback); fallback == branch.Path.Service && fallback != "" {
			faults = append(faults, &apiv1.Fault{Path: path, Key: KeyFallback, Message: "refers to the service itself"})
		}
	}
	return faults
}

// referenceKeys lists the keys whose values refer to branches, sorted.
var referenceKeys = keysOfKinds(KindServiceRef, KindResourceRef, KindSplit)

func keysOfKinds(kinds ...Kind) []string {
	var keys []string
	for i := range specs {
		if slices.Contains(kinds, specs[i].Kind) {
			keys = append(keys, specs[i].Key)
		}
	}
	sort.Strings(keys)
	return keys
}

// referenceTargets lists the branches that a value refers to.
func referenceTargets(spec *Spec, value string) []Path {
	switch spec.Kind {
	case KindServiceRef:
		return []Path{{Level: LevelService, Service: value}}
	case KindResourceRef:
		return []Path{{Level: LevelResource, Resource: value}}
	case KindSplit:
		// Parsing cannot fail, because the stored value is canonical.
		split, _ := ParseSplit(value)
		targets := make([]Path, len(split))
		for i, part := range split {
			targets[i] = Path{Level: LevelService, Service: part.Service}
		}
		return targets
	}
	return nil
}

// customerFaults checks that no other customer has a key of this one. It records the keys in seen.
func customerFaults(branch *Branch, seen map[string]string) []*apiv1.Fault {
	var faults []*apiv1.Fault
	path := branch.Path.String()
	text, _ := branch.Get(KeyCustomerKeyDigests)
	for _, digest := range strings.Fields(text) {
		if other, ok := seen[digest]; ok {
			faults = append(faults, &apiv1.Fault{Path: path, Key: KeyCustomerKeyDigests, Message: "has a key of " + other})
		}
		seen[digest] = path
	}
	return faults
}

// routeFaults checks that a route defines which calls it matches, by method and path or by host and prefix, and that no
// other route has the same definition. It records the definition in seen.
func routeFaults(branch *Branch, seen map[string]string) []*apiv1.Fault {
	match, faults := routeMatch(branch)
	if len(faults) > 0 {
		return faults
	}
	path := branch.Path.String()
	if other, ok := seen[match]; ok {
		return []*apiv1.Fault{{Path: path, Message: "matches the same calls as " + other}}
	}
	seen[match] = path
	return nil
}

// routeMatch returns a text that identifies which calls a route matches. Routes that match the same calls have the same
// text.
func routeMatch(branch *Branch) (string, []*apiv1.Fault) {
	_, hasHost := branch.Get(KeyRouteHost)
	_, hasPrefix := branch.Get(KeyRoutePrefix)
	methodOrHostKey, pathKey := KeyRouteMethod, KeyRoutePath
	if hasHost || hasPrefix {
		methodOrHostKey, pathKey = KeyRouteHost, KeyRoutePrefix
	}
	methodOrHost, hasMethodOrHost := branch.Get(methodOrHostKey)
	path, hasPath := branch.Get(pathKey)
	var faults []*apiv1.Fault
	if !hasMethodOrHost {
		faults = append(faults, &apiv1.Fault{Path: branch.Path.String(), Key: methodOrHostKey, Message: "a route must set it"})
	}
	if !hasPath || path[0] != '/' {
		faults = append(faults, &apiv1.Fault{Path: branch.Path.String(), Key: pathKey, Message: "a route must set it, starting with /"})
	}
	return methodOrHostKey + " " + methodOrHost + " " + path, faults
}
