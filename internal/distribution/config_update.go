package distribution

// ConfigUpdate is what a watcher gets of the configuration: one of the two encodings, or none when there is no version.
type ConfigUpdate struct {
	Version  uint64
	Snapshot []byte
	Delta    []byte
}
