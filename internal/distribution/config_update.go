package distribution

// ConfigUpdate is the configuration that a watch response carries: an encoded snapshot or an encoded delta, and neither
// when there is no version yet.
type ConfigUpdate struct {
	Version  uint64
	Snapshot []byte
	Delta    []byte
}
