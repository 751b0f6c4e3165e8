package replica

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"samphireflow/internal/raft"
	"samphireflow/internal/wal"
)

// Defaults of Options.
const (
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultSnapshotEvery = 4096
)

// Options set up a Replica.
type Options struct {
	ID        string
	ClusterID string
	// Dir is the data folder.
	Dir string
	// InitialMembers are the voters of a new group, which forms when all of them are there with blank folders. An instance
	// with a blank folder asks them to join; a folder that is not blank holds its own list.
	InitialMembers []Member
	// Seeds are further addresses at which an instance with a blank folder asks for a group to join.
	Seeds []string
	// OpenGroup lets instances of any name join; otherwise an operator has to invite them.
	OpenGroup bool
	// OwnAddr is the control address of an instance that Members do not list.
	OwnAddr      string
	StateMachine StateMachine
	Transport    Transport
	Logger       zerolog.Logger
	// TickInterval is the unit of the election and heartbeat times.
	TickInterval time.Duration
	// ElectionTicks and HeartbeatTicks default to those of package raft: 400 to 800 ms and 100 ms.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery uint64
	// RetainedEntries stay in the log behind a snapshot.
	RetainedEntries int
	// SegmentBytes is the size of a log segment.
	SegmentBytes int64
	// FS, Now and Rand default to the real file system, clock and random source.
	FS   wal.FS
	Now  func() time.Time
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.TickInterval <= 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.RetainedEntries <= 0 {
		o.RetainedEntries = raft.DefaultRetainedEntries
	}
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

func (o Options) raftConfig(identity string) raft.Config {
	return raft.Config{
		ID:              identity,
		ElectionTicks:   o.ElectionTicks,
		HeartbeatTicks:  o.HeartbeatTicks,
		RetainedEntries: o.RetainedEntries,
		Rand:            o.Rand,
	}
}
