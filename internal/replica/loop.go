package replica

import (
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// maxBatchRequests limits the number of requests that share one sync of the data folder.
const maxBatchRequests = 512

// run is the loop. It runs until Close is called or the storage fails. While the disk is full, it pauses. OpenErr is the error with
// which the storage could not be opened, if any.
func (r *Replica) run(openErr error) {
	defer close(r.done)
	defer r.options.Transport.Close()
	defer func() { r.stopJoinLoop() }()
	if openErr != nil && !r.awaitRoom(openErr) {
		return
	}
	r.startJoinLoop()
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.closing:
			return
		case <-ticker.C:
			r.tick()
		case request := <-r.inbox:
			r.step(request)
		case p := <-r.proposals:
			r.handleProposal(p)
		case request := <-r.reads:
			r.handleRead(request)
		case task := <-r.tasks:
			task()
		}
		r.handleQueuedRequests()
		if err := r.flush(); err != nil && !r.awaitRoom(err) {
			return
		}
	}
}

func (r *Replica) tick() {
	r.node.Tick()
	r.clock.record(r.node.Ticks(), r.options.Now())
	r.retryReads()
	r.maintainMembership()
}

// handleQueuedRequests handles the requests that are already queued, up to maxBatchRequests, so that they share one sync.
func (r *Replica) handleQueuedRequests() {
	for i := 0; i < maxBatchRequests; i++ {
		select {
		case request := <-r.inbox:
			r.step(request)
		case p := <-r.proposals:
			r.handleProposal(p)
		case request := <-r.reads:
			r.handleRead(request)
		default:
			return
		}
	}
}

func (r *Replica) step(request *apiv1.StepRequest) {
	for _, message := range request.Messages {
		if !r.acceptsFrom(message.From) {
			continue
		}
		if request.FromAddr != "" {
			r.senderAddrs[message.From] = request.FromAddr
		}
		r.node.Step(message)
	}
}

// flush persists, sends and applies everything that the Raft node has ready, and completes the reads that this allows.
func (r *Replica) flush() error {
	if r.joinStorageError != nil {
		return r.joinStorageError
	}
	r.retryWaitingProposals()
	r.node.Replicate()
	r.node.ConfirmReads()
	for {
		ready, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := r.processReady(ready); err != nil {
			return err
		}
	}
	r.completeReads()
	r.publishStatus()
	return nil
}

func (r *Replica) processReady(ready *raft.Ready) error {
	r.send(ready.ImmediateMessages)
	if err := r.persist(ready); err != nil {
		return err
	}
	r.send(ready.Messages)
	r.applyEntries(ready.Committed)
	for _, read := range ready.Reads {
		r.confirmRead(read.Context, read.Index)
	}
	r.node.Advance(ready)
	return r.snapshotIfDue()
}

func (r *Replica) persist(ready *raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.log.SaveSnapshot(*ready.Snapshot, true, ready.Snapshot.Index); err != nil {
			return err
		}
		if err := r.restoreState(*ready.Snapshot); err != nil {
			return err
		}
		r.appliedBytes = 0
		r.failProposalsUpTo(ready.Snapshot.Index)
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.log.Save(ready.HardState, ready.Entries, ready.MustSync)
}

// restoreState replaces the state with that of a snapshot, unless the state is newer. The first snapshot of a new group holds none.
func (r *Replica) restoreState(snapshot raft.Snapshot) error {
	if len(snapshot.Data) == 0 || snapshot.Index <= r.appliedIndex {
		return nil
	}
	r.appliedIndex = snapshot.Index
	return errors.Wrap(r.options.StateMachine.Restore(snapshot.Data), "replica: restore a snapshot")
}

func (r *Replica) applyEntries(entries []*apiv1.Entry) {
	for _, entry := range entries {
		if entry.Index <= r.appliedIndex {
			continue
		}
		r.appliedIndex = entry.Index
		var result []byte
		if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
			result = r.options.StateMachine.Apply(entry.Index, entry.Term, entry.Data)
		}
		r.appliedBytes += len(entry.Data)
		r.completeProposal(entry.Index, entry.Term, result)
	}
}

// snapshotIfDue takes a snapshot and compacts the log once SnapshotEvery entries, or entries with SnapshotBytes of data,
// were applied since the last one.
func (r *Replica) snapshotIfDue() error {
	if r.node.Applied() < r.appliedIndex {
		// The state machine is ahead, so its state is not the one at this index.
		return nil
	}
	if r.node.Applied() < r.node.SnapshotIndex()+r.options.SnapshotEvery && r.appliedBytes < r.options.SnapshotBytes {
		return nil
	}
	r.appliedBytes = 0
	data, err := r.options.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "replica: encode a snapshot")
	}
	snapshot := r.node.Compact(data)
	return r.log.SaveSnapshot(snapshot, false, snapshot.Index)
}

// send passes messages to the transport, grouped by receiver.
func (r *Replica) send(messages []*apiv1.ReplicationMessage) {
	if len(messages) == 0 {
		return
	}
	batches := map[string][]*apiv1.ReplicationMessage{}
	for _, message := range messages {
		batches[message.To] = append(batches[message.To], message)
	}
	for id, batch := range batches {
		r.options.Transport.Send(r.memberByIdentity(id), batch)
	}
}

// memberByIdentity returns the member with an identity. For an identity that the membership does not list, it returns
// the address that its last message named.
func (r *Replica) memberByIdentity(identity string) Member {
	if member := findMember(r.node.Membership().GetMembers(), identity); member != nil {
		return memberOf(member)
	}
	return Member{Identity: identity, ControlAddr: r.senderAddrs[identity]}
}

// fail records the storage failure that stops the replica. A member that cannot store its votes and entries must not
// acknowledge any.
func (r *Replica) fail(err error) {
	r.options.Logger.Error().Err(err).Msg("control storage failed; the instance takes no further part")
	r.storageFailure.Store(&err)
}
