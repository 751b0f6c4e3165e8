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

const (
	inboxLength    = 1024
	requestsLength = 1024
)

// Replica is a running member of the control group. Its methods are safe for concurrent use.
type Replica struct {
	options   Options
	inbox     chan *apiv1.StepRequest
	proposals chan *proposal
	reads     chan *readRequest
	calls     chan func()
	closing   chan struct{}
	done      chan struct{}
	closed    atomic.Bool
	failure   atomic.Pointer[error]
	status    atomic.Pointer[Status]

	// What follows belongs to the replica's goroutine.
	node     *raft.Node
	log      *wal.Log
	clock    *tickClock
	pending  map[uint64]*proposal
	held     []*proposal
	waiting  map[uint64]*readRequest
	nextRead uint64
	// addresses are those of senders that the membership does not list.
	addresses map[string]string
	identity  *apiv1.FolderIdentity
	joiners   map[string]joiner
	invited   map[string]bool
	// storageError is a failure outside of the work of the node.
	storageError error
	// stopJoining ends the questions of an instance without a group and waits for them.
	stopJoining func()
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
	r.startJoining()
	go r.run()
	return r, nil
}

func newReplica(options Options, log *wal.Log) *Replica {
	return &Replica{
		options:   options,
		inbox:     make(chan *apiv1.StepRequest, inboxLength),
		proposals: make(chan *proposal, requestsLength),
		reads:     make(chan *readRequest, requestsLength),
		calls:     make(chan func()),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
		log:       log,
		clock:     newTickClock(options.Now()),
		pending:   map[uint64]*proposal{},
		waiting:   map[uint64]*readRequest{},
		// Answers to an earlier run of the instance must not meet a read of this one.
		nextRead:    options.Rand.Uint64(),
		addresses:   map[string]string{},
		joiners:     map[string]joiner{},
		invited:     map[string]bool{},
		stopJoining: func() {},
	}
}

// newIdentity names a blank folder: a voter whose disk was lost must not vote again under its old identity.
func newIdentity(options Options) string {
	return identityOf(options.ID, options.Rand.Uint64())
}

// NewIdentity draws an identity for a new data folder of an instance.
func NewIdentity(name string) string {
	return identityOf(name, rand.Uint64())
}

func identityOf(name string, drawn uint64) string {
	return fmt.Sprintf("%s.%016x", name, drawn)
}

// load starts the node from the folder. A blank folder starts without a group.
func (r *Replica) load(contents *wal.Contents) error {
	r.identity = contents.Identity
	if err := r.restore(contents.State.Snapshot.Data); err != nil {
		return err
	}
	r.node = raft.New(r.options.raftConfig(r.identity.Identity), contents.State)
	r.publish()
	return nil
}

// startJoining lets an instance without a group ask for one, and one of an open group ask again once it is astray.
func (r *Replica) startJoining() {
	if r.formed() && !r.options.OpenGroup {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { r.joinLoop(ctx) })
	r.stopJoining = func() {
		cancel()
		group.Wait()
	}
}

// Close stops the replica and releases the data folder. What was proposed and not answered is unknown.
func (r *Replica) Close() error {
	if r.closed.Swap(true) {
		<-r.done
		return nil
	}
	close(r.closing)
	<-r.done
	return errors.Wrap(r.log.Close(), "replica: close the data folder")
}

// Done is closed when the replica has ended, by Close or by a storage failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// endError says why the replica takes no more work.
func (r *Replica) endError() error {
	if failure := r.failure.Load(); failure != nil {
		return errors.Wrap(ErrStopped, (*failure).Error())
	}
	return ErrClosed
}
