package replica

import (
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
	changes   chan *changeRequest
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
}

// Open opens the data folder and starts the replica.
func Open(options Options) (*Replica, error) {
	options = options.withDefaults()
	log, contents, err := wal.Open(wal.Options{
		FS:           options.FS,
		Dir:          options.Dir,
		ClusterID:    options.ClusterID,
		Name:         options.ID,
		Identity:     options.ID,
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
	go r.run()
	return r, nil
}

func newReplica(options Options, log *wal.Log) *Replica {
	return &Replica{
		options:   options,
		inbox:     make(chan *apiv1.StepRequest, inboxLength),
		proposals: make(chan *proposal, requestsLength),
		reads:     make(chan *readRequest, requestsLength),
		changes:   make(chan *changeRequest),
		closing:   make(chan struct{}),
		done:      make(chan struct{}),
		log:       log,
		clock:     newTickClock(options.Now()),
		pending:   map[uint64]*proposal{},
		waiting:   map[uint64]*readRequest{},
		// Answers to an earlier run of the instance must not meet a read of this one.
		nextRead:  options.Rand.Uint64(),
		addresses: map[string]string{},
	}
}

// load starts the node from the folder, or from the initial members when it is blank.
func (r *Replica) load(contents *wal.Contents) error {
	state := contents.State
	if state.Snapshot.Index == 0 && len(state.Entries) == 0 {
		state.Snapshot = raft.Snapshot{Index: 1, Term: 1, Membership: membershipOf(r.options.Members)}
		if err := r.log.SaveSnapshot(state.Snapshot, true, 0); err != nil {
			return errors.Wrap(err, "replica: write the first snapshot")
		}
	}
	if len(state.Snapshot.Data) > 0 {
		if err := r.options.StateMachine.Restore(state.Snapshot.Data); err != nil {
			return errors.Wrap(err, "replica: restore the snapshot")
		}
	}
	r.node = raft.New(r.options.raftConfig(contents.Identity.Identity), state)
	r.publish()
	return nil
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
