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
	DefaultSnapshotBytes = 16 << 20
)

// Options configures a Replica.
type Options struct {
	ID        string
	ClusterID string
	// Dir is the data folder.
	Dir string
	// InitialMembers are the voters of a new group, which is formed once all of them are reachable and have empty data
	// folders. Join requests are sent to them. Once an instance has a group, its data folder holds the membership.
	InitialMembers []Member
	// Seeds are further addresses to which join requests are sent.
	Seeds []string
	// OpenGroup admits instances of any name. Without it an operator has to invite each new name.
	OpenGroup bool
	// ToleratedLosses is the number of instances that may be lost at the same time with their disks.
	ToleratedLosses int
	// OwnAddr is the control address of an instance that is not in InitialMembers.
	OwnAddr string
	// FailureDomain is that of this instance; the other members learn it when this one joins.
	FailureDomain string
	StateMachine  StateMachine
	Transport     Transport
	Logger        zerolog.Logger
	// TickInterval is the unit of ElectionTicks and HeartbeatTicks.
	TickInterval time.Duration
	// ElectionTicks and HeartbeatTicks default to those of package raft. With the default TickInterval, the election
	// timeout is 400 to 800 ms and the heartbeat interval 100 ms.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery uint64
	// SnapshotBytes is the total data of log entries in bytes after which a snapshot is taken earlier. It bounds what a
	// starting instance reads and replays.
	SnapshotBytes int
	// RetainedEntries is the number of entries before a snapshot that stay in the log.
	RetainedEntries int
	// SegmentBytes is the size after which a new log segment is started.
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
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
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
