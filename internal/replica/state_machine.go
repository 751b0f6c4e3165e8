package replica

// StateMachine is the replicated state. Only the loop calls it, so calls never overlap. Commands are applied in the
// order of the log.
type StateMachine interface {
	// Apply executes one command and returns the encoded result for its proposer. It must be deterministic.
	Apply(index, term uint64, data []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state with one that Snapshot encoded.
	Restore(data []byte) error
}
