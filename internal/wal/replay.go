package wal

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/raft"
)

// replay rebuilds the log from its records.
type replay struct {
	clusterID string
	sequence  uint64
	entries   []*apiv1.Entry
	lastIndex uint64
	hardState raft.HardState
	started   bool
}

func (r *replay) take(payload []byte, first bool) error {
	record := &apiv1.LogRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return errors.Wrap(err, "not a record")
	}
	header := record.GetHeader()
	if (header != nil) != first {
		return errors.New("a segment must start with its one header")
	}
	switch kind := record.Kind.(type) {
	case *apiv1.LogRecord_Header:
		return r.takeHeader(header)
	case *apiv1.LogRecord_Entry:
		return r.takeEntry(kind.Entry)
	case *apiv1.LogRecord_HardState:
		return r.takeHardState(kind.HardState)
	case *apiv1.LogRecord_LogReset:
		r.entries = nil
		r.lastIndex = kind.LogReset.Index
		return nil
	}
	return errors.New("a record of an unknown kind")
}

func (r *replay) takeHeader(header *apiv1.SegmentHeader) error {
	if r.started && header.Sequence != r.sequence+1 {
		return errors.Errorf("segment %d follows segment %d", header.Sequence, r.sequence)
	}
	if header.ClusterId != r.clusterID {
		return errors.Errorf("the segment belongs to cluster %q", header.ClusterId)
	}
	r.started = true
	r.sequence = header.Sequence
	return r.takeHardState(header.HardState)
}

func (r *replay) takeHardState(record *apiv1.HardStateRecord) error {
	if record.GetTerm() < r.hardState.Term {
		return errors.Errorf("term %d follows term %d", record.GetTerm(), r.hardState.Term)
	}
	r.hardState = raft.HardState{Term: record.GetTerm(), Vote: record.GetVote(), Commit: record.GetCommit()}
	return nil
}

// takeEntry adds an entry in place of those with its index or a higher one. The first segment may start behind an
// entry that is replaced later; what is missing before it is then in the snapshot, which the caller checks.
func (r *replay) takeEntry(entry *apiv1.Entry) error {
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
