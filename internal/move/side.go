package move

// Side tells the two versions of a move apart.
type Side int

// The two sides.
const (
	OldVersion Side = iota
	NewVersion
)
