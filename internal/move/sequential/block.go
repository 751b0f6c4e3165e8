package sequential

// Block counts calls that went to the two versions in the same period. When a block ends may depend on the number of
// calls but not on their outcomes.
type Block struct {
	NewCalls uint64
	NewBad   uint64
	OldCalls uint64
	OldBad   uint64
}

// Comparable reports whether both versions had calls.
func (b Block) Comparable() bool {
	return b.NewCalls > 0 && b.OldCalls > 0
}
