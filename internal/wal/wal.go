package wal

import (
	"io"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// DefaultSegmentBytes is the segment size at which the log starts a new segment.
const DefaultSegmentBytes = 8 << 20

// Log is the open log of one data folder. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	identity     *apiv1.FolderIdentity
	segmentBytes int64
	lock         io.Closer
	segmentFile  File
	// pending holds the records that were saved without a sync. They are written together with the next ones that are synced.
	//
	// Invariant: at most one write of a segment is not synced. A power loss keeps each such write or not, so of two of them
	// the first may be missing, and a segment with a gap cannot be told from a damaged one.
	pending []byte
	// syncedBytes is the length of the current segment that is synced.
	syncedBytes int64
	segments    []Segment
	sequence    uint64
	hardState   raft.HardState
	lastIndex   uint64
	stopped     bool
}

// Options configures a Log.
type Options struct {
	FS  FS
	Dir string
	// ClusterID and Name, the name of the instance, must match the identity stored in the folder, if it has one.
	ClusterID string
	Name      string
	// Identity is stored in a folder that has no identity yet.
	Identity string
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// Open locks a data folder, truncates a torn tail and returns the log and the contents of the folder.
// Besides errors of the file system, it returns ErrLocked, ErrOwnerMismatch or a CorruptError.
func Open(options Options) (*Log, *Contents, error) {
	l := &Log{fs: options.FS, dir: options.Dir, segmentBytes: options.SegmentBytes}
	if l.segmentBytes <= 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, nil, errors.Wrap(err, "wal: create the data folder")
	}
	lock, err := l.fs.Lock(filepath.Join(l.dir, lockName))
	if err != nil {
		return nil, nil, err
	}
	l.lock = lock
	contents, err := l.load(options)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	return l, contents, nil
}

func (l *Log) load(options Options) (*Contents, error) {
	if err := l.removeTemporaryFiles(); err != nil {
		return nil, err
	}
	contents, err := Read(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	if err := l.ensureIdentity(contents, options); err != nil {
		return nil, err
	}
	if contents.TornFile != "" {
		if err := l.fs.Truncate(contents.TornFile, contents.TornAt); err != nil {
			return nil, errors.Wrap(err, "wal: truncate a torn record")
		}
	}
	if err := l.syncLastSegment(contents); err != nil {
		return nil, err
	}
	l.identity = contents.Identity
	l.segments = contents.Segments
	l.sequence = contents.lastSequence
	l.hardState = contents.State.HardState
	l.lastIndex = contents.State.Snapshot.Index + uint64(len(contents.State.Entries))
	if err := l.rotate(); err != nil {
		return nil, errors.Wrap(err, "wal: start a segment")
	}
	if contents.needsLogReset {
		return contents, l.writeLogReset(contents.State.Snapshot)
	}
	return contents, nil
}

// syncLastSegment makes the records durable that have been read. A process that was killed may have written some that it had not
// synced, and a power loss must not remove what this one acts on.
func (l *Log) syncLastSegment(contents *Contents) error {
	if len(contents.Segments) == 0 {
		return nil
	}
	last := contents.Segments[len(contents.Segments)-1]
	file, err := l.fs.Append(filepath.Join(l.dir, last.Name))
	if err != nil {
		return errors.Wrap(err, "wal: open the last segment")
	}
	err = file.Sync()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "wal: sync the last segment")
}

func (l *Log) removeTemporaryFiles() error {
	files, err := listFolder(l.fs, l.dir)
	if err != nil {
		return errors.Wrap(err, "wal: list the data folder")
	}
	for _, name := range files.temporary {
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return errors.Wrap(err, "wal: remove an incomplete file")
		}
	}
	return nil
}

// ensureIdentity checks that the folder belongs to this instance. A folder without an identity gets one.
func (l *Log) ensureIdentity(contents *Contents, options Options) error {
	if own := contents.Identity; own != nil {
		if own.ClusterId != options.ClusterID || own.Name != options.Name {
			return errors.Wrapf(ErrOwnerMismatch, "cluster %q, instance %q", own.ClusterId, own.Name)
		}
		return nil
	}
	contents.Identity = &apiv1.FolderIdentity{ClusterId: options.ClusterID, Name: options.Name, Identity: options.Identity}
	return errors.Wrap(l.writeIdentity(contents.Identity), "wal: write the identity")
}

func (l *Log) writeIdentity(identity *apiv1.FolderIdentity) error {
	payload, err := proto.Marshal(identity)
	if err != nil {
		return err
	}
	return writeFrameFile(l.fs, l.dir, identityName, payload)
}

// SaveIdentity durably replaces the identity record of the folder. Any failure stops the log permanently.
func (l *Log) SaveIdentity(identity *apiv1.FolderIdentity) error {
	if l.stopped {
		return ErrStopped
	}
	return l.stopOnError(l.writeIdentity(identity))
}

// Save appends a hard state, unless it is nil, and entries. If sync is set, it writes and syncs them and what was saved before;
// otherwise they are lost if the process ends before the next sync. Any failure stops the log permanently.
func (l *Log) Save(state *raft.HardState, entries []*apiv1.Entry, sync bool) error {
	if l.stopped {
		return ErrStopped
	}
	var buffer []byte
	if state != nil {
		l.hardState = *state
		buffer = appendRecord(buffer, &apiv1.LogRecord{Kind: &apiv1.LogRecord_HardState{HardState: hardStateRecord(*state)}})
	}
	for _, entry := range entries {
		buffer = appendRecord(buffer, &apiv1.LogRecord{Kind: &apiv1.LogRecord_Entry{Entry: entry}})
		l.lastIndex = entry.Index
	}
	if err := l.write(buffer, sync); err != nil {
		return err
	}
	if l.currentSegment().Bytes < l.segmentBytes {
		return nil
	}
	return l.stopOnError(l.rotate())
}

// SaveSnapshot durably writes a snapshot. With reset set, it also discards all entries of the log, which then continues
// after the snapshot. SaveSnapshot removes older snapshots and the oldest segments whose last entry is not after the lower
// of retainAfter and the snapshot's index. Any failure stops the log permanently.
func (l *Log) SaveSnapshot(snapshot raft.Snapshot, reset bool, retainAfter uint64) error {
	if l.stopped {
		return ErrStopped
	}
	payload, err := encodeSnapshot(l.identity.ClusterId, snapshot)
	if err != nil {
		return l.stopOnError(err)
	}
	if err := writeFrameFile(l.fs, l.dir, snapshotName(snapshot.Index, snapshot.Term), payload); err != nil {
		return l.stopOnError(err)
	}
	if reset {
		if err := l.writeLogReset(snapshot); err != nil {
			return err
		}
	}
	if err := l.rotate(); err != nil {
		return l.stopOnError(err)
	}
	return l.stopOnError(l.removeObsoleteFiles(min(retainAfter, snapshot.Index)))
}

func (l *Log) writeLogReset(snapshot raft.Snapshot) error {
	reset := &apiv1.LogReset{Index: snapshot.Index, Term: snapshot.Term}
	l.lastIndex = snapshot.Index
	return l.write(appendRecord(nil, &apiv1.LogRecord{Kind: &apiv1.LogRecord_LogReset{LogReset: reset}}), true)
}

// maxPendingBytes limits the records that wait for a sync, in bytes.
const maxPendingBytes = 64 << 10

// write appends records to the pending ones, and writes and syncs all if sync is set or too many are pending.
func (l *Log) write(buffer []byte, sync bool) error {
	l.pending = append(l.pending, buffer...)
	if !sync && len(l.pending) < maxPendingBytes {
		return nil
	}
	return l.stopOnError(l.flush())
}

// flush writes and syncs the pending records.
func (l *Log) flush() error {
	if len(l.pending) > 0 {
		if _, err := l.segmentFile.Write(l.pending); err != nil {
			return err
		}
		l.currentSegment().Bytes += int64(len(l.pending))
		l.pending = nil
	}
	if err := l.segmentFile.Sync(); err != nil {
		return err
	}
	l.currentSegment().LastIndex = l.lastIndex
	l.syncedBytes = l.currentSegment().Bytes
	return nil
}

// DiscardUnsynced removes what was written to the current segment and not synced. It is called after a failure, before the folder is
// opened again by the same process: whether it would survive a power loss is not known.
func (l *Log) DiscardUnsynced() error {
	if !l.stopped || l.segmentFile == nil {
		return nil
	}
	path := filepath.Join(l.dir, l.currentSegment().Name)
	return errors.Wrap(l.fs.Truncate(path, l.syncedBytes), "wal: discard what was not synced")
}

// stopOnError stops the log permanently when err is not nil.
func (l *Log) stopOnError(err error) error {
	if err == nil {
		return nil
	}
	l.stopped = true
	return &stoppedError{err}
}

// Close writes the pending records, closes the current segment and releases the lock on the folder.
func (l *Log) Close() error {
	var err error
	if l.segmentFile != nil {
		if !l.stopped && len(l.pending) > 0 {
			err = l.flush()
		}
		if closeErr := l.segmentFile.Close(); err == nil {
			err = closeErr
		}
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

func appendRecord(buffer []byte, record *apiv1.LogRecord) []byte {
	payload, err := proto.Marshal(record)
	if err != nil {
		panic("wal: encode a record: " + err.Error())
	}
	return appendFrame(buffer, payload)
}

func hardStateRecord(state raft.HardState) *apiv1.HardStateRecord {
	return &apiv1.HardStateRecord{Term: state.Term, Vote: state.Vote, Commit: state.Commit}
}
