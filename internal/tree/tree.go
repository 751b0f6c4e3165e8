package tree

import (
	"slices"
	"sort"
	"sync/atomic"

	apiv1 "samphireflow/api/v1"
)

// Tree is the complete set of branches at one version. It is immutable: an edit creates a new Tree, which shares the
// unchanged branches.
type Tree struct {
	branches map[Path]*Branch
	// sorted caches the result of Branches.
	sorted atomic.Pointer[[]*Branch]
}

// New returns a tree with an empty global branch.
func New() *Tree {
	global := &Branch{Path: Path{Level: LevelGlobal}}
	return &Tree{branches: map[Path]*Branch{global.Path: global}}
}

// FromMessages builds a tree from API messages, for example from a snapshot of the replicated state.
func FromMessages(list []*apiv1.Branch) (*Tree, error) {
	t := New()
	for _, message := range list {
		path, err := ParsePath(message.Path)
		if err != nil {
			return nil, err
		}
		t.branches[path] = branchFromMessage(path, message)
	}
	return t, nil
}

func branchFromMessage(path Path, message *apiv1.Branch) *Branch {
	branch := &Branch{Path: path, Version: message.Version, EditID: message.EditId, Operator: message.Operator, values: map[string]value{}}
	for _, setting := range message.Settings {
		branch.values[setting.Key] = value{setting.Value, setting.Version, setting.EditId, setting.Operator}
	}
	return branch
}

// Branch returns the branch at a path, or nil if there is none.
func (t *Tree) Branch(path Path) *Branch {
	return t.branches[path]
}

// Branches lists all branches, sorted by path. Callers must not modify the list. Branches must not be called before the
// tree is complete, because the list is cached.
func (t *Tree) Branches() []*Branch {
	if sorted := t.sorted.Load(); sorted != nil {
		return *sorted
	}
	names := make([]string, 0, len(t.branches))
	byName := make(map[string]*Branch, len(t.branches))
	for path, branch := range t.branches {
		name := path.String()
		names = append(names, name)
		byName[name] = branch
	}
	sort.Strings(names)
	list := make([]*Branch, len(names))
	for i, name := range names {
		list[i] = byName[name]
	}
	list = slices.Clip(list)
	t.sorted.Store(&list)
	return list
}

// Messages lists all branches as API messages, sorted by path.
func (t *Tree) Messages() []*apiv1.Branch {
	var list []*apiv1.Branch
	for _, branch := range t.Branches() {
		list = append(list, branch.Message())
	}
	return list
}

// AtLevel lists the branches of one level, sorted by path.
func (t *Tree) AtLevel(level Level) []*Branch {
	var list []*Branch
	for _, branch := range t.Branches() {
		if branch.Path.Level == level {
			list = append(list, branch)
		}
	}
	return list
}

// RoutesOf lists the route branches of a service, sorted by path.
func (t *Tree) RoutesOf(service string) []*Branch {
	var list []*Branch
	for _, branch := range t.AtLevel(LevelRoute) {
		if branch.Path.Service == service {
			list = append(list, branch)
		}
	}
	return list
}

func (t *Tree) clone() *Tree {
	copied := &Tree{branches: make(map[Path]*Branch, len(t.branches))}
	for path, branch := range t.branches {
		copied.branches[path] = branch
	}
	return copied
}
