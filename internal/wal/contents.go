package wal

import (
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// Segment describes one log segment of a folder.
type Segment struct {
	Name    string
	Bytes   int64
	Records int
	// LastIndex is the last index of the log at the end of the segment, which itself may hold no entry.
	LastIndex uint64
}

// Contents is the decoded content of a data folder.
type Contents struct {
	Identity *apiv1.FolderIdentity
	State    raft.State
	Segments []Segment
	// Snapshots are the names of the snapshot files, oldest first.
	Snapshots []string
	// TornFile and TornAt are the path of the last segment and the offset of an incomplete record at its end.
	// TornFile is empty if there is none.
	TornFile string
	TornAt   int64
	// lastSequence is the sequence number of the last segment.
	lastSequence uint64
	// needsLogReset is set if the process crashed after it had written a received snapshot and before it wrote the
	// reset of the log.
	needsLogReset bool
}

// Read reads and validates a data folder without changing it. Damage is reported as a CorruptError.
func Read(fs FS, dir string) (*Contents, error) {
	files, err := listFolder(fs, dir)
	if err != nil {
		return nil, errors.Wrap(err, "wal: list the data folder")
	}
	contents := &Contents{Snapshots: files.snapshots}
	if err := contents.readIdentity(fs, dir, files); err != nil {
		return nil, err
	}
	if err := contents.readSnapshot(fs, dir); err != nil {
		return nil, err
	}
	replay := &replay{clusterID: contents.Identity.GetClusterId(), lastIndex: contents.State.Snapshot.Index}
	for i, name := range files.segments {
		if err := contents.readSegment(fs, dir, name, replay, i == len(files.segments)-1); err != nil {
			return nil, err
		}
	}
	contents.lastSequence = replay.sequence
	contents.State.HardState = replay.hardState
	return contents, contents.setEntriesAfterSnapshot(dir, replay)
}

func (c *Contents) readIdentity(fs FS, dir string, files folderFiles) error {
	if !files.identity {
		if len(files.segments) > 0 || len(files.snapshots) > 0 {
			return &CorruptError{File: filepath.Join(dir, identityName), Reason: "the file is missing"}
		}
		return nil
	}
	payload, err := readFrameFile(fs, dir, identityName)
	if err != nil {
		return err
	}
	c.Identity = &apiv1.FolderIdentity{}
	if err := proto.Unmarshal(payload, c.Identity); err != nil {
		return &CorruptError{File: filepath.Join(dir, identityName), Reason: err.Error()}
	}
	return nil
}

// readSnapshot reads the newest snapshot. If it is damaged, readSnapshot fails even when an older snapshot is intact,
// because the log entries between the two may already be removed.
func (c *Contents) readSnapshot(fs FS, dir string) error {
	if len(c.Snapshots) == 0 {
		return nil
	}
	name := c.Snapshots[len(c.Snapshots)-1]
	payload, err := readFrameFile(fs, dir, name)
	if err != nil {
		return err
	}
	snapshot, err := decodeSnapshot(payload)
	if err != nil {
		return &CorruptError{File: filepath.Join(dir, name), Reason: err.Error()}
	}
	c.State.Snapshot = *snapshot
	return nil
}

func (c *Contents) readSegment(fs FS, dir, name string, replay *replay, isLast bool) error {
	path := filepath.Join(dir, name)
	data, err := fs.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "wal: read a segment")
	}
	segment := Segment{Name: name}
	for offset := 0; ; {
		payload, size, status := readFrame(data[offset:])
		if status == frameTorn && isLast {
			c.TornFile, c.TornAt = path, int64(offset)
			status = frameEnd
		}
		if status == frameEnd {
			segment.Bytes = int64(offset)
			break
		}
		if status != frameOK {
			return &CorruptError{File: path, Offset: int64(offset), Reason: status.String()}
		}
		if err := replay.apply(payload, offset == 0); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
		segment.Records++
	}
	segment.LastIndex = replay.lastIndex
	c.Segments = append(c.Segments, segment)
	return nil
}

// setEntriesAfterSnapshot keeps the entries that follow the snapshot and checks that none is missing between the
// snapshot and the log. It discards all entries if the log's entry at the index of the snapshot has another term.
func (c *Contents) setEntriesAfterSnapshot(dir string, replay *replay) error {
	snapshot := c.State.Snapshot
	for i, entry := range replay.entries {
		if entry.Index == snapshot.Index && entry.Term != snapshot.Term {
			break
		}
		if entry.Index <= snapshot.Index {
			continue
		}
		if entry.Index != snapshot.Index+1 {
			return &CorruptError{File: dir, Reason: "entries are missing between the snapshot and the log"}
		}
		c.State.Entries = replay.entries[i:]
		return nil
	}
	c.needsLogReset = replay.lastIndex != snapshot.Index
	return nil
}

func decodeSnapshot(payload []byte) (*raft.Snapshot, error) {
	record := &apiv1.SnapshotRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil, err
	}
	snapshot := snapshotFromRecord(record)
	return &snapshot, nil
}
