package distribution

import "time"

// ConfigUpdate is the configuration that a watch response carries: an encoded snapshot or an encoded delta, and neither
// when there is no version yet.
type ConfigUpdate struct {
	Version  uint64
	Snapshot []byte
	Delta    []byte
	// EncodeTime is the time that this call spent on encoding; 0 when an earlier call had encoded the update.
	EncodeTime time.Duration
}
