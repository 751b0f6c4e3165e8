package raft

import "math/rand/v2"

// Defaults of a Config.
const (
	DefaultElectionTicks      = 8
	DefaultHeartbeatTicks     = 2
	DefaultMaxAppendBytes     = 256 << 10
	DefaultMaxInflight        = 32
	DefaultMaxUncommitted     = 4096
	DefaultSnapshotChunkBytes = 256 << 10
	DefaultRetainedEntries    = 1024
)

// Config sets up a Node. Zero numbers take the defaults above.
type Config struct {
	// ID is this node's identity among the members.
	ID string
	// ElectionTicks is the shortest election timeout; the actual one is drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats of a leader.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one append message.
	MaxAppendBytes int
	// MaxInflight bounds the append messages to one follower that are not answered yet.
	MaxInflight int
	// MaxUncommitted bounds the entries that wait for their commit.
	MaxUncommitted int
	// SnapshotChunkBytes is the size of one piece of a snapshot.
	SnapshotChunkBytes int
	// RetainedEntries stay in the log behind a snapshot, for followers that are a little behind.
	RetainedEntries int
	// Rand draws the election timeouts.
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
	return c
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
