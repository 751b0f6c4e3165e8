package distribution

import (
	"sync"

	apiv1 "samphireflow/api/v1"
)

// ReportDeduplicator detects repeated reports by sender and sequence number. It is safe for concurrent use.
type ReportDeduplicator struct {
	mu   sync.Mutex
	last map[string]reportPosition
}

// reportPosition identifies the newest report of one instance.
type reportPosition struct {
	processID uint64
	seq       uint64
}

// NewReportDeduplicator returns a deduplicator that has seen no report.
func NewReportDeduplicator() *ReportDeduplicator {
	return &ReportDeduplicator{last: map[string]reportPosition{}}
}

// IsNew reports whether a report is newer than all previous ones of its instance, and records it if so. A report of an
// earlier process of the instance is not new.
func (d *ReportDeduplicator) IsNew(request *apiv1.ReportRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.last[request.Instance]
	if request.ProcessId < last.processID {
		return false
	}
	if request.ProcessId == last.processID && request.Seq <= last.seq {
		return false
	}
	d.last[request.Instance] = reportPosition{request.ProcessId, request.Seq}
	return true
}
