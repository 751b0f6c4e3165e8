package tree

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Branch is one node of the tree. It is immutable once it is part of a Tree.
type Branch struct {
	Path Path
	// Version is the configuration version that last changed the branch.
	Version uint64
	// EditID and Operator identify the edit that last changed the branch.
	EditID   string
	Operator string
	values   map[string]value
}

// value is the value of one setting, with the edit that set it.
type value struct {
	text     string
	version  uint64
	editID   string
	operator string
}

// Get returns the value that this branch itself sets for a key. Inherited values are not considered.
func (b *Branch) Get(key string) (string, bool) {
	if b == nil {
		return "", false
	}
	v, ok := b.values[key]
	return v.text, ok
}

// SameValues reports whether two branches, which may be nil, set the same values for the keys.
func SameValues(a, b *Branch, keys []string) bool {
	if a == b {
		return true
	}
	for _, key := range keys {
		before, had := a.Get(key)
		after, has := b.Get(key)
		if before != after || had != has {
			return false
		}
	}
	return true
}

// Settings lists the settings of the branch, sorted by key.
func (b *Branch) Settings() []*apiv1.Setting {
	list := make([]*apiv1.Setting, 0, len(b.values))
	for key, v := range b.values {
		list = append(list, &apiv1.Setting{Key: key, Value: v.text, Version: v.version, EditId: v.editID, Operator: v.operator})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Message returns the branch as an API message.
func (b *Branch) Message() *apiv1.Branch {
	return &apiv1.Branch{
		Path:     b.Path.String(),
		Version:  b.Version,
		Settings: b.Settings(),
		EditId:   b.EditID,
		Operator: b.Operator,
	}
}

func (b *Branch) clone() *Branch {
	copied := *b
	copied.values = make(map[string]value, len(b.values))
	for key, v := range b.values {
		copied.values[key] = v
	}
	return &copied
}
