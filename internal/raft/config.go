package raft

import "math/rand/v2"

// Default values of the fields of Config.
const (
	DefaultElectionTicks      = 8
	DefaultHeartbeatTicks     = 2
	DefaultMaxAppendBytes     = 256 << 10
	DefaultMaxInflight        = 32
	DefaultMaxUncommitted     = 4096
	DefaultSnapshotChunkBytes = 256 << 10
	DefaultRetainedEntries    = 1024

	DefaultRetainedBytes       = 4 << 20
	DefaultMaxUncommittedBytes = 16 << 20
)

// Config configures a Node. Numeric fields that are not positive get the defaults above.
type Config struct {
	// ID identifies this node among the members.
	ID string
	// ElectionTicks is the shortest election timeout. The actual timeout is drawn at random from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks int
	// MaxAppendBytes limits the total size of the entries in one append message.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged append messages to one follower.
	MaxInflight int
	// MaxUncommitted limits the uncommitted entries in a leader's log; further proposals are refused.
	MaxUncommitted int
	// MaxUncommittedBytes limits the total data of the uncommitted entries in the same way. One entry of any size is
	// accepted when there is no other.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the maximum size of one chunk of a snapshot.
	SnapshotChunkBytes int
	// RetainedEntries is the number of entries before a snapshot that stay in the log, so that followers that lag
	// only a little need no snapshot.
	RetainedEntries int
	// RetainedBytes limits the total data of these entries.
	RetainedBytes int
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	setDefault(&c.RetainedEntries, DefaultRetainedEntries)
	setDefault(&c.RetainedBytes, DefaultRetainedBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	return c
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
