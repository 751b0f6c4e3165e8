package document

import "samphireflow/internal/tree"

// Document is a parsed document without problems.
type Document struct {
	Branches []Branch
}

// Branch is the change of one branch of the tree in a document.
type Branch struct {
	Position Position
	Path     tree.Path
	// Remove is true if the branch is to be removed together with its descendants. Settings is empty then.
	Remove   bool
	Settings []Setting
}

// Setting is the change of one key of a branch in a document.
type Setting struct {
	Position Position
	Key      string
	// Value is the new value in canonical text form. It is empty if Unset is true.
	Value string
	// Unset is true if the key is to be unset.
	Unset bool
}

// FindPosition returns the position of a key of a branch, or the position of the branch if the document does not name
// the key there. It returns false if the document does not name the branch.
func (d *Document) FindPosition(path, key string) (Position, bool) {
	for _, branch := range d.Branches {
		if branch.Path.String() != path {
			continue
		}
		for _, setting := range branch.Settings {
			if setting.Key == key {
				return setting.Position, true
			}
		}
		return branch.Position, true
	}
	return Position{}, false
}
