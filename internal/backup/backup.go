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
	// ErrNoState refuses to back up a folder without any state.
	ErrNoState = errors.New("backup: the data folder is blank")
	// ErrHasState refuses to restore into a folder that holds something.
	ErrHasState = errors.New("backup: the data folder is not blank")
)

// Summary describes what a folder or a backup leads to.
type Summary struct {
	// Version is the configuration version.
	Version uint64
	// Index is the last entry of the log that is contained.
	Index uint64
}

// Write backs a data folder up into a file. The whole log is taken, also what may not have been committed: an
// accepted edit that the folder holds is in the backup, and an edit whose outcome is unknown may be. Errors are
// ErrNoState and those of wal.Read.
func Write(fs wal.FS, dir, file string) (Summary, error) {
	contents, err := wal.Read(fs, dir)
	if err != nil {
		return Summary{}, err
	}
	snapshot, summary, err := Compact(contents)
	if err != nil {
		return Summary{}, err
	}
	return summary, errors.Wrap(wal.WriteSnapshotFile(fs, file, contents.Identity.ClusterId, snapshot), "backup: write")
}

// Compact runs the log of a folder and returns the state at its end.
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
	image, err := machine.Snapshot()
	if err != nil {
		return raft.Snapshot{}, Summary{}, errors.Wrap(err, "backup: encode the state")
	}
	snapshot.Data = image
	return snapshot, Summary{Version: machine.View().Version, Index: snapshot.Index}, nil
}

// Restore makes a data folder of a new group that starts with a backup and has one member, the given instance. The
// term goes on behind the backup's, so that what the new group accepts is newer than anything that the old one did.
func Restore(fs wal.FS, file, dir string, member replica.Member) (Summary, error) {
	clusterID, snapshot, err := wal.ReadSnapshotFile(fs, file)
	if err != nil {
		return Summary{}, err
	}
	machine := state.NewMachine()
	if err := machine.Restore(snapshot.Data); err != nil {
		return Summary{}, errors.Wrap(err, "backup: the state in the backup")
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
