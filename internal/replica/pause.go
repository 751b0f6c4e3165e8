package replica

import (
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/wal"
)

// roomInterval is the time between two attempts to open the storage while the disk is full. It adds little to the time until the
// group has the instance back, an election timeout.
const roomInterval = 200 * time.Millisecond

// errDiskFull is the error of a proposal or read that comes while the replica pauses. It has no effect.
var errDiskFull = errors.Wrap(ErrNoQuorum, "the disk of this instance is full")

// awaitRoom handles a failure of the storage. If the disk is full, it pauses the replica until the storage can be opened again, and
// reports true. The instance then continues as after a restart, from what its disk holds, but with its state machine. It reports
// false if the replica must stop: it is closed, or the state on the disk is not known.
//
// Invariant: a paused replica sends nothing, so it supports no leader and acknowledges no entry that it has not stored.
func (r *Replica) awaitRoom(cause error) bool {
	if !wal.IsDiskFull(cause) {
		r.fail(cause)
		return false
	}
	r.options.Logger.Error().Err(cause).Msg("the disk is full; the control instance pauses until there is room")
	began := r.options.Now()
	r.abandonRequests()
	r.publishPaused()
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.closing:
			return false
		case <-r.inbox:
			// Messages may be lost; their senders repeat them.
		case p := <-r.proposals:
			p.complete(nil, errDiskFull)
		case request := <-r.reads:
			request.complete(errDiskFull)
		case <-ticker.C:
			err := r.reopenStorage()
			if err == nil {
				r.options.Logger.Info().Dur("paused_ms", r.options.Now().Sub(began)).Msg("the disk has room again; the control instance continues")
				return true
			}
			if !wal.IsDiskFull(err) {
				r.fail(err)
				return false
			}
		}
	}
}

// reopenStorage closes the storage, without what is not certain to be durable, and opens it again.
func (r *Replica) reopenStorage() error {
	if r.log != nil {
		if err := r.log.DiscardUnsynced(); err != nil {
			return err
		}
		log := r.log
		r.log = nil
		if err := log.Close(); err != nil {
			return err
		}
	}
	return r.openStorage()
}

// abandonRequests completes all that waits for the replica. The outcome of a proposal in the log is not known, because other
// instances may have the entry.
func (r *Replica) abandonRequests() {
	for index, p := range r.pendingProposals {
		delete(r.pendingProposals, index)
		p.complete(nil, errors.Wrap(ErrOutcomeUnknown, "the disk of this instance is full"))
	}
	for _, p := range r.waitingProposals {
		if p.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
			p.complete(nil, errDiskFull)
		}
	}
	r.waitingProposals, r.waitingBytes = nil, 0
	for id, request := range r.pendingReads {
		delete(r.pendingReads, id)
		request.complete(errDiskFull)
	}
	clear(r.joinRequests)
	r.joinStorageError = nil
	r.appliedBytes = 0
}

// publishPaused publishes a status without a leader.
func (r *Replica) publishPaused() {
	status := *r.status.Load()
	status.Leader, status.LeaderAddr, status.IsLeader, status.Joiners, status.Paused = "", "", false, nil, true
	r.status.Store(&status)
}
