package distribution

import (
	"sync"

	apiv1 "samphireflow/api/v1"
)

// ReportFilter tells the first receipt of a report from a repeated one. It is safe for use by many goroutines.
type ReportFilter struct {
	mu   sync.Mutex
	last map[string]reportPosition
}

// reportPosition is the newest report of one instance.
type reportPosition struct {
	processID uint64
	seq       uint64
}

// NewReportFilter returns a filter that has seen nothing.
func NewReportFilter() *ReportFilter {
	return &ReportFilter{last: map[string]reportPosition{}}
}

// First reports whether a report is the first of its number.
func (f *ReportFilter) First(request *apiv1.ReportRequest) bool {
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
