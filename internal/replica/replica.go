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

// Open opens the data folder and starts the replica.
func Open(options Options) (*Replica, error) {
	options = options.withDefaults()
	log, contents, err := wal.Open(wal.Options{
		FS:           options.FS,
		Dir:          options.Dir,
		ClusterID:    options.ClusterID,
		Name:         options.ID,
		Identity:     newIdentity(options),
		SegmentBytes: options.SegmentBytes,
	})
	if err != nil {
		return nil, errors.Wrap(err, "replica: open the data folder")
	}
	r := newReplica(options, log)
	if err := r.load(contents); err != nil {
		log.Close()
		return nil, err
	}
	r.startJoinLoop()
	go r.run()
	return r, nil
}

func newReplica(options Options, log *wal.Log) *Replica {
	return &Replica{
		options:          options,
		inbox:            make(chan *apiv1.StepRequest, inboxCapacity),
		proposals:        make(chan *proposal, requestCapacity),
		reads:            make(chan *readRequest, requestCapacity),
		tasks:            make(chan func()),
		closing:          make(chan struct{}),
		done:             make(chan struct{}),
		log:              log,
		clock:            newTickClock(options.Now()),
		pendingProposals: map[uint64]*proposal{},
		pendingReads:     map[uint64]*readRequest{},
		// A random start keeps a late reply to a read of an earlier run from matching a read of this run.
		lastReadID:   options.Rand.Uint64(),
		senderAddrs:  map[string]string{},
		joinRequests: map[string]joinRequest{},
		stopJoinLoop: func() {},
	}
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
	r.identity = contents.Identity
	if err := r.restoreState(contents.State.Snapshot.Data); err != nil {
		return err
	}
	r.node = raft.New(r.options.raftConfig(r.identity.Identity), contents.State)
	r.publishStatus()
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
