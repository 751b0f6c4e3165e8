package wal

import (
	"path/filepath"

	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
)

func (l *Log) current() *Segment {
	return &l.segments[len(l.segments)-1]
}

// rotate begins a new segment, whose header carries the hard state on.
func (l *Log) rotate() error {
	if l.file != nil {
		if err := l.file.Sync(); err != nil {
			return err
		}
		if err := l.file.Close(); err != nil {
			return err
		}
		l.file = nil
	}
	l.sequence++
	name := segmentName(l.sequence)
	header := &apiv1.SegmentHeader{Sequence: l.sequence, ClusterId: l.identity.ClusterId, HardState: hardStateRecord(l.hardState)}
	payload, err := proto.Marshal(&apiv1.LogRecord{Kind: &apiv1.LogRecord_Header{Header: header}})
	if err != nil {
		return err
	}
	if err := writeWhole(l.fs, l.dir, name, payload); err != nil {
		return err
	}
	file, err := l.fs.Append(filepath.Join(l.dir, name))
	if err != nil {
		return err
	}
	l.file = file
	l.segments = append(l.segments, Segment{Name: name, Bytes: int64(frameHeaderBytes + len(payload)), LastIndex: l.lastIndex})
	return nil
}

// removeOld removes segments that hold no entry after an index, and all snapshots but the newest.
func (l *Log) removeOld(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].LastIndex <= index {
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

// Bytes returns the size of the log segments on disk.
func (l *Log) Bytes() int64 {
	var sum int64
	for _, segment := range l.segments {
		sum += segment.Bytes
	}
	return sum
}
