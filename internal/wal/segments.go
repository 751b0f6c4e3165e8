package wal

import (
	"path/filepath"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

func (l *Log) currentSegment() *Segment {
	return &l.segments[len(l.segments)-1]
}

// rotate syncs and closes the current segment and starts a new one. The header of the new segment repeats the hard
// state, so that older segments can be removed.
func (l *Log) rotate() error {
	if l.segmentFile != nil {
		if err := l.flush(); err != nil {
			return err
		}
		if err := l.segmentFile.Close(); err != nil {
			return err
		}
		l.segmentFile = nil
	}
	l.sequence++
	name := segmentName(l.sequence)
	header := &apiv1.SegmentHeader{Sequence: l.sequence, ClusterId: l.identity.ClusterId, HardState: hardStateRecord(l.hardState)}
	payload, err := proto.Marshal(&apiv1.LogRecord{Kind: &apiv1.LogRecord_Header{Header: header}})
	if err != nil {
		return err
	}
	if err := writeFrameFile(l.fs, l.dir, name, payload); err != nil {
		return err
	}
	file, err := l.fs.Append(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	l.segmentFile = file
	l.syncedBytes = int64(frameHeaderBytes + len(payload))
	l.segments = append(l.segments, Segment{Name: name, Bytes: l.syncedBytes, LastIndex: l.lastIndex})
	return nil
}

// removeObsoleteFiles removes the oldest segments whose last entry is not after index, except the current segment, and
// all snapshots except the newest. It syncs the folder between two segments: a power loss that brings back the first of them alone
// would leave a gap.
func (l *Log) removeObsoleteFiles(index uint64) error {
	for removed := 0; len(l.segments) > 1 && l.segments[0].LastIndex <= index; removed++ {
		if removed > 0 {
			if err := l.fs.SyncDir(l.dir); err != nil {
				return err
			}
		}
		if err := l.fs.Remove(filepath.Join(l.dir, l.segments[0].Name)); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	files, err := listFolder(l.fs, l.dir)
	if err != nil {
		return err
	}
	for i := 0; i < len(files.snapshots)-1; i++ {
		if err := l.fs.Remove(filepath.Join(l.dir, files.snapshots[i])); err != nil {
			return err
		}
	}
	return l.fs.SyncDir(l.dir)
}

// Bytes returns the total size of the log segments.
func (l *Log) Bytes() int64 {
	var sum int64
	for _, segment := range l.segments {
		sum += segment.Bytes
	}
	return sum
}
