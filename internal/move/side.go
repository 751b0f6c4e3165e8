package move

// Side identifies one of the two versions of a move.
type Side int

// OldVersion is the version that the service moves from, NewVersion the one that it moves to.
const (
	OldVersion Side = iota
	NewVersion
)
