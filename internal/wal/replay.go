package wal

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// replay rebuilds the log by applying the records of all segments in order.
type replay struct {
	clusterID string
	sequence  uint64
	entries   []*apiv1.Entry
	lastIndex uint64
	hardState raft.HardState
	hasHeader bool
}

func (r *replay) apply(payload []byte, firstInSegment bool) error {
	record := &apiv1.LogRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return errors.Wrap(err, "decode a record")
	}
	header := record.GetHeader()
	if (header != nil) != firstInSegment {
		return errors.New("a segment must start with a header and hold only one")
	}
	switch kind := record.Kind.(type) {
	case *apiv1.LogRecord_Header:
		return r.applyHeader(header)
	case *apiv1.LogRecord_Entry:
		return r.applyEntry(kind.Entry)
	case *apiv1.LogRecord_HardState:
		return r.applyHardState(kind.HardState)
	case *apiv1.LogRecord_LogReset:
		r.entries = nil
		r.lastIndex = kind.LogReset.Index
		return nil
	}
	return errors.New("the record is of an unknown kind")
}

func (r *replay) applyHeader(header *apiv1.SegmentHeader) error {
	if r.hasHeader && header.Sequence != r.sequence+1 {
		return errors.Errorf("segment %d follows segment %d", header.Sequence, r.sequence)
	}
	if header.ClusterId != r.clusterID {
		return errors.Errorf("the segment belongs to cluster %q", header.ClusterId)
	}
	r.hasHeader = true
	r.sequence = header.Sequence
	return r.applyHardState(header.HardState)
}

func (r *replay) applyHardState(record *apiv1.HardStateRecord) error {
	if record.GetTerm() < r.hardState.Term {
		return errors.Errorf("term %d follows term %d", record.GetTerm(), r.hardState.Term)
	}
	r.hardState = raft.HardState{Term: record.GetTerm(), Vote: record.GetVote(), Commit: record.GetCommit()}
	return nil
}

// applyEntry appends an entry and discards all entries with the same or a higher index. The index may be lower than that
// of the first entry of the remaining segments, because the new entry can replace one whose segment has been removed.
// The snapshot must then cover the missing entries before it, which setEntriesAfterSnapshot checks.
func (r *replay) applyEntry(entry *apiv1.Entry) error {
	kept := 0
	if len(r.entries) > 0 && entry.Index > r.entries[0].Index {
		if entry.Index > r.lastIndex+1 {
			return errors.Errorf("entry %d follows entry %d", entry.Index, r.lastIndex)
		}
		kept = int(entry.Index - r.entries[0].Index)
	}
	r.entries = append(r.entries[:kept], entry)
	r.lastIndex = entry.Index
	return nil
}
