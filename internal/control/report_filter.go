package control

import (
	"sync"

	apiv1 "samphireflow/api/v1"
)

// reportFilter tells the first receipt of a report from a repeated one.
type reportFilter struct {
	mu   sync.Mutex
	last map[string]reportPosition
}

// reportPosition is the newest report of one instance.
type reportPosition struct {
	processID uint64
	seq       uint64
}

func newReportFilter() *reportFilter {
	return &reportFilter{last: map[string]reportPosition{}}
}

func (f *reportFilter) first(request *apiv1.ReportRequest) bool {
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
