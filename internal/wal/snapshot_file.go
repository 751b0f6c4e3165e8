package wal

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// WriteSnapshotFile writes a snapshot to a standalone file outside any data folder.
func WriteSnapshotFile(fs FS, path, clusterID string, snapshot raft.Snapshot) error {
	payload, err := encodeSnapshot(clusterID, snapshot)
	if err != nil {
		return err
	}
	return writeFrameFile(fs, filepath.Dir(path), filepath.Base(path), payload)
}

// ReadSnapshotFile reads a file that WriteSnapshotFile wrote and returns the snapshot and the ID of its cluster. Damage
// is reported as a CorruptError.
func ReadSnapshotFile(fs FS, path string) (clusterID string, snapshot raft.Snapshot, err error) {
	payload, err := readFrameFile(fs, filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return "", raft.Snapshot{}, errors.WithMessage(err, "wal: read a snapshot file")
	}
	record := &apiv1.SnapshotRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return "", raft.Snapshot{}, &CorruptError{File: path, Reason: err.Error()}
	}
	return record.ClusterId, snapshotFromRecord(record), nil
}

func encodeSnapshot(clusterID string, snapshot raft.Snapshot) ([]byte, error) {
	return proto.Marshal(&apiv1.SnapshotRecord{
		ClusterId:  clusterID,
		Index:      snapshot.Index,
		Term:       snapshot.Term,
		Membership: snapshot.Membership,
		Data:       snapshot.Data,
	})
}

func snapshotFromRecord(record *apiv1.SnapshotRecord) raft.Snapshot {
	return raft.Snapshot{Index: record.Index, Term: record.Term, Membership: record.Membership, Data: record.Data}
}
