package tree

import (
	"sort"

	apiv1 "samphireflow/api/v1"
)

// Branch is one node of the tree. It is immutable once it is part of a Tree.
type Branch struct {
	Path Path
	// Version is the configuration version that changed the branch last.
	Version uint64
	// EditID and Operator name the edit that changed the branch last.
	EditID   string
	Operator string
	values   map[string]value
}

// value is one setting with the edit that set it.
type value struct {
	text     string
	version  uint64
	editID   string
	operator string
}

// Get returns the value of a key that this branch itself sets.
func (b *Branch) Get(key string) (string, bool) {
	if b == nil {
		return "", false
	}
	v, ok := b.values[key]
	return v.text, ok
}

// Settings lists the keys that the branch sets, sorted.
func (b *Branch) Settings() []*apiv1.Setting {
	list := make([]*apiv1.Setting, 0, len(b.values))
	for key, v := range b.values {
		list = append(list, &apiv1.Setting{Key: key, Value: v.text, Version: v.version, EditId: v.editID, Operator: v.operator})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// Message returns the branch in its API form.
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
