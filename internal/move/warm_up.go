package move

import "time"

// warmUp tracks whether the backend servers of the new version have warmed up.
type warmUp struct {
	// calls is the number of calls that the version has had.
	calls uint64
	// servers is the highest number of backend servers that were ready at once.
	servers int
	// coldUntil is the end of the warm-up time of the backend server that started last.
	coldUntil time.Time
}

func (w *warmUp) update(status *ServiceStatus) {
	w.servers = max(w.servers, status.ReadyNew)
	if until := status.LastStart.Add(warmUpTime); until.After(w.coldUntil) {
		w.coldUntil = until
	}
}

// complete reports whether the version has had enough calls and time to warm up.
func (w *warmUp) complete(now time.Time) bool {
	return w.calls >= uint64(w.servers)*warmUpCalls && !now.Before(w.coldUntil)
}
