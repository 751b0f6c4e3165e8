package wal

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// WriteSnapshotFile writes a snapshot into a file of its own, outside of any data folder.
func WriteSnapshotFile(fs FS, path, clusterID string, snapshot raft.Snapshot) error {
	payload, err := encodeSnapshot(clusterID, snapshot)
	if err != nil {
		return err
	}
	return writeWhole(fs, filepath.Dir(path), filepath.Base(path), payload)
}

// ReadSnapshotFile reads a file that WriteSnapshotFile wrote and the cluster that it is of. It returns a CorruptError for damage.
func ReadSnapshotFile(fs FS, path string) (clusterID string, snapshot raft.Snapshot, err error) {
	payload, err := readWhole(fs, filepath.Dir(path), filepath.Base(path))
	if err != nil {
		return "", raft.Snapshot{}, errors.WithMessage(err, "wal: read an image")
	}
	record := &apiv1.SnapshotRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return "", raft.Snapshot{}, &CorruptError{File: path, Reason: err.Error()}
	}
	return record.ClusterId, snapshotOf(record), nil
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

func snapshotOf(record *apiv1.SnapshotRecord) raft.Snapshot {
	return raft.Snapshot{Index: record.Index, Term: record.Term, Membership: record.Membership, Data: record.Data}
}
