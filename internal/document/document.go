package document

import "samphireflow/internal/tree"

// Document is a checked document.
type Document struct {
	Branches []Branch
}

// Branch is what a document says about one branch of the tree.
type Branch struct {
	Position Position
	Path     tree.Path
	// Remove asks to remove the branch with all beneath it; Settings is empty then.
	Remove   bool
	Settings []Setting
}

// Setting is what a document says about one key of a branch.
type Setting struct {
	Position Position
	Key      string
	// Value is in canonical text form; empty with Unset.
	Value string
	Unset bool
}

// FindPosition returns the position of a branch, or of one of its keys where the document names it.
// It reports false when the document does not name the branch.
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
