package backup

import (
	"github.com/pkg/errors"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
	"samphireflow/internal/replica"
	"samphireflow/internal/state"
	"samphireflow/internal/wal"
)

var (
	// ErrNoState is returned for the backup of a data folder without a snapshot and entries.
	ErrNoState = errors.New("backup: the data folder holds no state")
	// ErrHasState is returned for a restore into a data folder that holds a snapshot or entries.
	ErrHasState = errors.New("backup: the data folder already holds state")
)

// Summary describes the state in a data folder or a backup.
type Summary struct {
	// Version is the configuration version.
	Version uint64
	// Index is the index of the last log entry that the state includes.
	Index uint64
}

// Write writes a backup of a data folder to a file. The backup includes the whole log, also entries that may not be
// committed. It thus contains every accepted edit that the folder holds, and may contain edits whose outcome is unknown.
// Write fails with ErrNoState or an error of wal.Read, or if the file cannot be written.
func Write(fs wal.FS, dir, file string) (Summary, error) {
	contents, err := wal.Read(fs, dir)
	if err != nil {
		return Summary{}, err
	}
	snapshot, summary, err := Compact(contents)
	if err != nil {
		return Summary{}, err
	}
	return summary, errors.Wrap(wal.WriteSnapshotFile(fs, file, contents.Identity.ClusterId, snapshot), "backup: write the file")
}

// Compact applies the log of a data folder to its snapshot and returns the resulting state as a new snapshot. It fails
// with ErrNoState if the folder holds neither a snapshot nor entries.
func Compact(contents *wal.Contents) (raft.Snapshot, Summary, error) {
	stored := contents.State
	if stored.Snapshot.Index == 0 && len(stored.Entries) == 0 {
		return raft.Snapshot{}, Summary{}, ErrNoState
	}
	machine := state.NewMachine()
	if len(stored.Snapshot.Data) > 0 {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return raft.Snapshot{}, Summary{}, errors.Wrap(err, "backup: restore the snapshot")
		}
	}
	snapshot := raft.Snapshot{Index: stored.Snapshot.Index, Term: stored.Snapshot.Term, Membership: stored.Snapshot.Membership}
	for _, entry := range stored.Entries {
		if entry.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
			machine.Apply(entry.Index, entry.Term, entry.Data)
		}
		snapshot.Index, snapshot.Term = entry.Index, entry.Term
	}
	data, err := machine.Snapshot()
	if err != nil {
		return raft.Snapshot{}, Summary{}, errors.Wrap(err, "backup: encode the state")
	}
	snapshot.Data = data
	return snapshot, Summary{Version: machine.View().Version, Index: snapshot.Index}, nil
}

// Restore creates the data folder of a new control group from a backup. The given instance is the group's only member.
// The term is one higher than that of the backup, so that everything that the new group accepts is newer than what the
// old group accepted. Restore fails with ErrHasState if the data folder already holds state.
func Restore(fs wal.FS, file, dir string, member replica.Member) (Summary, error) {
	clusterID, snapshot, err := wal.ReadSnapshotFile(fs, file)
	if err != nil {
		return Summary{}, err
	}
	machine := state.NewMachine()
	if err := machine.Restore(snapshot.Data); err != nil {
		return Summary{}, errors.Wrap(err, "backup: decode the state in the backup")
	}
	identity := replica.NewIdentity(member.ID)
	log, contents, err := wal.Open(wal.Options{FS: fs, Dir: dir, ClusterID: clusterID, Name: member.ID, Identity: identity})
	if err != nil {
		return Summary{}, err
	}
	defer log.Close()
	if contents.State.Snapshot.Index > 0 || len(contents.State.Entries) > 0 {
		return Summary{}, ErrHasState
	}
	snapshot.Term++
	snapshot.Membership = &apiv1.ReplicaMembership{Members: []*apiv1.ReplicaMember{
		{Id: contents.Identity.Identity, Name: member.ID, ControlAddr: member.ControlAddr},
	}}
	if err := log.SaveSnapshot(snapshot, true, snapshot.Index); err != nil {
		return Summary{}, err
	}
	return Summary{Version: machine.View().Version, Index: snapshot.Index}, nil
}
