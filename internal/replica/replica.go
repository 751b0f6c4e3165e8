package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
	"samphireflow/internal/wal"
)

// These are the capacities of the channels to the loop: inboxCapacity for messages, and requestCapacity for proposals
// and for reads.
const (
	inboxCapacity   = 1024
	requestCapacity = 1024
)

// Replica is a running member of the control group. Its methods are safe for concurrent use.
type Replica struct {
	options        Options
	inbox          chan *apiv1.StepRequest
	proposals      chan *proposal
	reads          chan *readRequest
	tasks          chan func()
	closing        chan struct{}
	done           chan struct{}
	closed         atomic.Bool
	storageFailure atomic.Pointer[error]
	status         atomic.Pointer[Status]

	// The fields below belong to the loop.

	node  *raft.Node
	log   *wal.Log
	clock *tickClock
	// pendingProposals holds the proposals in the log that are not applied yet, by log index.
	pendingProposals map[uint64]*proposal
	// appliedBytes is the total data of the entries that were applied since the newest snapshot.
	appliedBytes int
	// appliedIndex is the index up to which the state machine holds the state. After the storage was opened again it is ahead of the
	// Raft node, which repeats the entries; they are not applied twice.
	appliedIndex uint64
	// waitingProposals holds the proposals that wait for a leader, and waitingBytes the total of their data.
	waitingProposals []*proposal
	waitingBytes     int
	// pendingReads holds the reads that are not complete, by ID.
	pendingReads map[uint64]*readRequest
	lastReadID   uint64
	// senderAddrs holds the address that the last message of each sender named, by identity. It is used for senders
	// that the membership does not list.
	senderAddrs map[string]string
	identity    *apiv1.FolderIdentity
	// joinRequests is kept by the leader, by instance name.
	joinRequests map[string]joinRequest
	// joinStorageError is a failure to store what the join protocol decided. It stops the loop.
	joinStorageError error
	// stopJoinLoop stops joinLoop and waits until it has returned.
	stopJoinLoop func()
}

// Open opens the data folder and starts the replica. If the disk is full, the replica starts once there is room.
func Open(options Options) (*Replica, error) {
	r := newReplica(options.withDefaults())
	err := r.openStorage()
	if err != nil && !wal.IsDiskFull(err) {
		return nil, err
	}
	go r.run(err)
	return r, nil
}

// openStorage opens the data folder and starts the Raft node from what it holds.
func (r *Replica) openStorage() error {
	log, contents, err := wal.Open(wal.Options{
		FS:           r.options.FS,
		Dir:          r.options.Dir,
		ClusterID:    r.options.ClusterID,
		Name:         r.options.ID,
		Identity:     newIdentity(r.options),
		SegmentBytes: r.options.SegmentBytes,
	})
	if err != nil {
		return errors.Wrap(err, "replica: open the data folder")
	}
	r.log = log
	if err := r.load(contents); err != nil {
		r.log = nil
		log.Close()
		return err
	}
	return nil
}

func newReplica(options Options) *Replica {
	r := &Replica{
		options:          options,
		inbox:            make(chan *apiv1.StepRequest, inboxCapacity),
		proposals:        make(chan *proposal, requestCapacity),
		reads:            make(chan *readRequest, requestCapacity),
		tasks:            make(chan func()),
		closing:          make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*readRequest{},
		// A random start keeps a late reply to a read of an earlier run from matching a read of this run.
		lastReadID:   options.Rand.Uint64(),
		senderAddrs:  map[string]string{},
		joinRequests: map[string]joinRequest{},
		stopJoinLoop: func() {},
	}
	r.status.Store(&Status{ID: options.ID, lastContactAt: options.Now()})
	return r
}

// newIdentity returns an identity for an empty data folder, drawn from options.Rand. A voter that lost its disk must not
// vote again under its old identity.
func newIdentity(options Options) string {
	return formatIdentity(options.ID, options.Rand.Uint64())
}

// NewIdentity returns a random identity for a new data folder of the instance with the given name.
func NewIdentity(name string) string {
	return formatIdentity(name, rand.Uint64())
}

func formatIdentity(name string, suffix uint64) string {
	return fmt.Sprintf("%s.%016x", name, suffix)
}

// load starts the Raft node from the contents of the data folder. If the folder is empty, the replica has no group yet.
func (r *Replica) load(contents *wal.Contents) error {
	if err := r.loadIdentity(contents.Identity); err != nil {
		return err
	}
	if err := r.restoreState(contents.State.Snapshot); err != nil {
		return err
	}
	// After a pause the last contact is as old as before.
	r.clock = newTickClock(r.status.Load().lastContactAt)
	r.node = raft.New(r.options.raftConfig(r.identity.Identity), contents.State)
	r.publishStatus()
	return nil
}

// loadIdentity takes over the identity record of the data folder. The identity itself never changes, because joinLoop reads it.
func (r *Replica) loadIdentity(stored *apiv1.FolderIdentity) error {
	if r.identity == nil {
		r.identity = stored
		return nil
	}
	if r.identity.Identity != stored.Identity {
		return errors.Errorf("replica: the data folder of %s now belongs to %s", r.identity.Identity, stored.Identity)
	}
	r.identity.Founder, r.identity.Admitted = stored.Founder, stored.Admitted
	return nil
}

// startJoinLoop starts joinLoop for a replica that has no group or that belongs to an open group.
func (r *Replica) startJoinLoop() {
	if r.hasGroup() && !r.options.OpenGroup {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.joinLoop(ctx) })
	r.stopJoinLoop = func() {
		cancel()
		group.Wait()
	}
}

// Close stops the replica and releases the data folder. Proposals without a result may or may not take effect.
func (r *Replica) Close() error {
	if r.closed.Swap(true) {
		<-r.done
		return nil
	}
	close(r.closing)
	<-r.done
	if r.log == nil {
		return nil
	}
	return errors.Wrap(r.log.Close(), "replica: close the data folder")
}

// Done returns a channel that is closed when the replica has stopped, by Close or after a storage failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// terminationError returns the reason why the replica has stopped: ErrStopped or ErrClosed.
func (r *Replica) terminationError() error {
	if failure := r.storageFailure.Load(); failure != nil {
		return errors.Wrap(ErrStopped, (*failure).Error())
	}
	return ErrClosed
}
