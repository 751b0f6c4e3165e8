package tree

import (
	"strconv"
	"time"

	apiv1 "samphireflow/api/v1"
)

// Resolved is the value of one setting at a path, with its source.
type Resolved struct {
	Key   string
	Value string
	// Branch is the path of the branch that sets the value. It is empty for the built-in default.
	Branch string
	// EditID, Operator and Version identify the edit that set the value.
	EditID   string
	Operator string
	Version  uint64
}

// Resolve returns the value of a key at a path. The most specific branch that sets the key takes precedence, then the
// default of the key. Resolve returns false if no branch sets the key and it has no default.
func (t *Tree) Resolve(path Path, key string) (Resolved, bool) {
	return t.Scope(path).Resolve(key)
}

// Scope is the set of branches whose settings apply at one path, from the least to the most specific.
type Scope []*Branch

// Scope returns the branches whose settings apply at a path. It is worthwhile where several keys are resolved at the path.
func (t *Tree) Scope(path Path) Scope {
	lineage := path.Lineage()
	scope := make(Scope, 0, len(lineage))
	for _, ancestor := range lineage {
		if branch := t.branches[ancestor]; branch != nil {
			scope = append(scope, branch)
		}
	}
	return scope
}

// Resolve returns the value of a key in the scope; see Tree.Resolve.
func (s Scope) Resolve(key string) (Resolved, bool) {
	for i := len(s) - 1; i >= 0; i-- {
		branch := s[i]
		if v, ok := branch.values[key]; ok {
			return Resolved{key, v.text, branch.Path.String(), v.editID, v.operator, v.version}, true
		}
	}
	spec, ok := specByKey[key]
	if !ok || spec.Default == "" {
		return Resolved{}, false
	}
	return Resolved{Key: key, Value: spec.Default}, true
}

// Explain resolves every setting that can apply at a path, in schema order.
func (t *Tree) Explain(path Path) []Resolved {
	var list []Resolved
	for i := range specs {
		if !specs[i].relevantAt(path) {
			continue
		}
		if resolved, ok := t.Resolve(path, specs[i].Key); ok {
			list = append(list, resolved)
		}
	}
	return list
}

// relevantAt reports whether the key may be set on any branch of the path's lineage.
func (s *Spec) relevantAt(path Path) bool {
	for _, ancestor := range path.Lineage() {
		if s.allowedAt(ancestor.Level) {
			return true
		}
	}
	return false
}

// Message returns the resolved setting as an API message.
func (r Resolved) Message() *apiv1.Explanation {
	return &apiv1.Explanation{Key: r.Key, Value: r.Value, Branch: r.Branch, EditId: r.EditID, Version: r.Version, Operator: r.Operator}
}

// Duration resolves a duration setting. It returns zero if the setting is not set.
func (t *Tree) Duration(path Path, key string) time.Duration {
	resolved, _ := t.Resolve(path, key)
	duration, _ := time.ParseDuration(resolved.Value)
	return duration
}

// Float resolves a number setting. It returns zero if the setting is not set.
func (t *Tree) Float(path Path, key string) float64 {
	resolved, _ := t.Resolve(path, key)
	number, _ := strconv.ParseFloat(resolved.Value, 64)
	return number
}

// Text resolves a text setting. It returns an empty text if the setting is not set.
func (t *Tree) Text(path Path, key string) string {
	return t.Scope(path).Text(key)
}

// Text resolves a text setting. It returns an empty text if the setting is not set.
func (s Scope) Text(key string) string {
	resolved, _ := s.Resolve(key)
	return resolved.Value
}
