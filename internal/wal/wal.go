package wal

import (
	"io"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

// Log is the open log of one data folder. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	identity     *apiv1.FolderIdentity
	segmentBytes int64
	lock         io.Closer
	file         File
	segments     []Segment
	sequence     uint64
	hardState    raft.HardState
	lastIndex    uint64
	stopped      bool
}

// Options set up a Log.
type Options struct {
	FS  FS
	Dir string
	// ClusterID and Name must match those of a folder that is not blank.
	ClusterID string
	Name      string
	// Identity is given to a blank folder.
	Identity string
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// Open locks a data folder, repairs a torn tail and returns what the folder holds.
// It fails with ErrLocked, ErrOwnerMismatch, or a CorruptError.
func Open(options Options) (*Log, *Contents, error) {
	l := &Log{fs: options.FS, dir: options.Dir, segmentBytes: options.SegmentBytes}
	if l.segmentBytes <= 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, nil, errors.Wrap(err, "wal: make the data folder")
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
	if err := l.removeTemporary(); err != nil {
		return nil, err
	}
	contents, err := Read(l.fs, l.dir)
	if err != nil {
		return nil, err
	}
	if err := l.claim(contents, options); err != nil {
		return nil, err
	}
	if contents.TornFile != "" {
		if err := l.fs.Truncate(contents.TornFile, contents.TornAt); err != nil {
			return nil, errors.Wrap(err, "wal: cut a torn record")
		}
	}
	l.identity = contents.Identity
	l.segments = contents.Segments
	l.sequence = contents.sequence
	l.hardState = contents.State.HardState
	l.lastIndex = contents.State.Snapshot.Index + uint64(len(contents.State.Entries))
	if err := l.rotate(); err != nil {
		return nil, errors.Wrap(err, "wal: begin a segment")
	}
	if contents.needsReset {
		return contents, l.writeReset(contents.State.Snapshot)
	}
	return contents, nil
}

func (l *Log) removeTemporary() error {
	files, err := listFolder(l.fs, l.dir)
	if err != nil {
		return errors.Wrap(err, "wal: list the data folder")
	}
	for _, name := range files.temporary {
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return errors.Wrap(err, "wal: remove an unfinished file")
		}
	}
	return nil
}

// claim checks that the folder is this instance's, or makes a blank folder so.
func (l *Log) claim(contents *Contents, options Options) error {
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
	return writeWhole(l.fs, l.dir, identityName, payload)
}

// SaveIdentity makes a change of the folder's identity record last. Any failure stops the log for good.
func (l *Log) SaveIdentity(identity *apiv1.FolderIdentity) error {
	if l.stopped {
		return ErrStopped
	}
	return l.stopOn(l.writeIdentity(identity))
}

// Save writes a hard state and entries, and syncs them when asked to. Any failure stops the log for good.
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
	if l.current().Bytes < l.segmentBytes {
		return nil
	}
	return l.stopOn(l.rotate())
}

// SaveSnapshot makes a snapshot last. With reset set the log goes on after the snapshot and older entries are void.
// Segments and snapshots that are no longer needed are removed; entries after retain are kept.
func (l *Log) SaveSnapshot(snapshot raft.Snapshot, reset bool, retain uint64) error {
	if l.stopped {
		return ErrStopped
	}
	payload, err := encodeSnapshot(l.identity.ClusterId, snapshot)
	if err != nil {
		return l.stopOn(err)
	}
	if err := writeWhole(l.fs, l.dir, snapshotName(snapshot.Index, snapshot.Term), payload); err != nil {
		return l.stopOn(err)
	}
	if reset {
		if err := l.writeReset(snapshot); err != nil {
			return err
		}
	}
	if err := l.rotate(); err != nil {
		return l.stopOn(err)
	}
	return l.stopOn(l.removeOld(min(retain, snapshot.Index)))
}

func (l *Log) writeReset(snapshot raft.Snapshot) error {
	reset := &apiv1.LogReset{Index: snapshot.Index, Term: snapshot.Term}
	l.lastIndex = snapshot.Index
	return l.write(appendRecord(nil, &apiv1.LogRecord{Kind: &apiv1.LogRecord_LogReset{LogReset: reset}}), true)
}

func (l *Log) write(buffer []byte, sync bool) error {
	if len(buffer) > 0 {
		if _, err := l.file.Write(buffer); err != nil {
			return l.stopOn(err)
		}
		l.current().Bytes += int64(len(buffer))
	}
	if sync {
		if err := l.file.Sync(); err != nil {
			return l.stopOn(err)
		}
	}
	l.current().LastIndex = l.lastIndex
	return nil
}

// stopOn stops the log for good when err is not nil.
func (l *Log) stopOn(err error) error {
	if err == nil {
		return nil
	}
	l.stopped = true
	return errors.Wrap(ErrStopped, err.Error())
}

// Close releases the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

func appendRecord(buffer []byte, record *apiv1.LogRecord) []byte {
	payload, err := proto.Marshal(record)
	if err != nil {
		panic("wal: a record cannot be encoded: " + err.Error())
	}
	return appendFrame(buffer, payload)
}

func hardStateRecord(state raft.HardState) *apiv1.HardStateRecord {
	return &apiv1.HardStateRecord{Term: state.Term, Vote: state.Vote, Commit: state.Commit}
}
