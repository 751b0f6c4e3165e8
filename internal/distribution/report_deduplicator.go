package distribution

import (
	"sync"

	apiv1 "samphireflow/api/v1"
)

// ReportDeduplicator tells the first receipt of a report from a repeated one. It is safe for use by many goroutines.
type ReportDeduplicator struct {
	mu   sync.Mutex
	last map[string]reportPosition
}

// reportPosition is the newest report of one instance.
type reportPosition struct {
	processID uint64
	seq       uint64
}

// NewReportDeduplicator returns a filter that has seen nothing.
func NewReportDeduplicator() *ReportDeduplicator {
	return &ReportDeduplicator{last: map[string]reportPosition{}}
}

// IsNew reports whether a report is the first of its number.
func (f *ReportDeduplicator) IsNew(request *apiv1.ReportRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.last[request.Instance]
	if request.ProcessId < last.processID {
		return false
	}
	if request.ProcessId == last.processID && request.Seq <= last.seq {
		return false
	}
	f.last[request.Instance] = reportPosition{request.ProcessId, request.Seq}
	return true
}
