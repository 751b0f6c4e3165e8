package replica

import (
	"time"

	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// maxBatch bounds the requests that are taken before they are synced together.
const maxBatch = 512

// run is the replica's goroutine.
func (r *Replica) run() {
	defer close(r.done)
	defer r.options.Transport.Close()
	defer r.stopJoining()
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
			r.propose(p)
		case request := <-r.reads:
			r.startRead(request)
		case call := <-r.calls:
			call()
		}
		r.drain()
		if err := r.work(); err != nil {
			r.fail(err)
			return
		}
	}
}

func (r *Replica) tick() {
	r.node.Tick()
	r.clock.note(r.node.Ticks(), r.options.Now())
	r.repeatReads()
	r.maintain()
}

// drain takes what else is queued, so that one sync serves it all.
func (r *Replica) drain() {
	for i := 0; i < maxBatch; i++ {
		select {
		case request := <-r.inbox:
			r.step(request)
		case p := <-r.proposals:
			r.propose(p)
		case request := <-r.reads:
			r.startRead(request)
		default:
			return
		}
	}
}

func (r *Replica) step(request *apiv1.StepRequest) {
	for _, message := range request.Messages {
		if !r.accepts(message.From) {
			continue
		}
		if request.FromAddr != "" {
			r.addresses[message.From] = request.FromAddr
		}
		r.node.Step(message)
	}
}

// work does everything that the node asks for.
func (r *Replica) work() error {
	if r.storageError != nil {
		return r.storageError
	}
	r.releaseHeld()
	r.node.Replicate()
	r.node.ConfirmReads()
	for {
		ready, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := r.process(ready); err != nil {
			return err
		}
	}
	r.releaseReads()
	r.publish()
	return nil
}

func (r *Replica) process(ready *raft.Ready) error {
	r.send(ready.ImmediateMessages)
	if err := r.persist(ready); err != nil {
		return err
	}
	r.send(ready.Messages)
	r.apply(ready.Committed)
	for _, read := range ready.Reads {
		r.confirmRead(read.Context, read.Index)
	}
	r.node.Advance(ready)
	return r.snapshot()
}

func (r *Replica) persist(ready *raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.log.SaveSnapshot(*ready.Snapshot, true, ready.Snapshot.Index); err != nil {
			return err
		}
		if err := r.restore(ready.Snapshot.Data); err != nil {
			return err
		}
		r.loseUpTo(ready.Snapshot.Index)
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	return r.log.Save(ready.HardState, ready.Entries, ready.MustSync)
}

// restore puts a snapshot into the state machine; that of a new group is empty.
func (r *Replica) restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	return errors.Wrap(r.options.StateMachine.Restore(image), "replica: restore a snapshot")
}

func (r *Replica) apply(entries []*apiv1.Entry) {
	for _, entry := range entries {
		var result []byte
		if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
			result = r.options.StateMachine.Apply(entry.Index, entry.Term, entry.Data)
		}
		r.resolve(entry.Index, entry.Term, result)
	}
}

// snapshot compacts the log when enough entries have been applied since the last snapshot.
func (r *Replica) snapshot() error {
	if r.node.Applied() < r.node.SnapshotIndex()+r.options.SnapshotEvery {
		return nil
	}
	image, err := r.options.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "replica: encode a snapshot")
	}
	snapshot := r.node.Compact(image)
	return r.log.SaveSnapshot(snapshot, false, snapshot.Index)
}

// send hands messages to the transport, all for one member together.
func (r *Replica) send(messages []*apiv1.ReplicationMessage) {
	if len(messages) == 0 {
		return
	}
	batches := map[string][]*apiv1.ReplicationMessage{}
	for _, message := range messages {
		batches[message.To] = append(batches[message.To], message)
	}
	for id, batch := range batches {
		r.options.Transport.Send(r.member(id), batch)
	}
}

// member finds a member by its identity; one that the membership does not list has the address that it last sent from.
func (r *Replica) member(identity string) Member {
	if member := find(r.node.Membership().GetMembers(), identity); member != nil {
		return memberOf(member)
	}
	return Member{Identity: identity, ControlAddr: r.addresses[identity]}
}

// fail ends the replica after a storage failure: nothing that it says could be trusted to last.
func (r *Replica) fail(err error) {
	r.options.Logger.Error().Err(err).Msg("control storage failed; the instance takes no further part")
	r.failure.Store(&err)
}
