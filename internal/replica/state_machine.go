package replica

// StateMachine is the replicated state. It is called by the replica's goroutine only, in the order of the log.
type StateMachine interface {
	// Apply takes one command and returns the encoded result for its proposer. It must be deterministic.
	Apply(index, term uint64, data []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(image []byte) error
}
