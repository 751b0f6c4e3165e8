package move

import "time"

// warmth says whether the backend servers of the new version have warmed up.
type warmth struct {
	// calls counts the calls that the version has had.
	calls uint64
	// servers is the highest count of backend servers that were ready at once.
	servers int
	// coldUntil is when the backend server that started last has had its time.
	coldUntil time.Time
}

func (w *warmth) follow(situation *Situation) {
	w.servers = max(w.servers, situation.ReadyNew)
	if until := situation.LastStart.Add(coldTime); until.After(w.coldUntil) {
		w.coldUntil = until
	}
}

func (w *warmth) over(now time.Time) bool {
	return w.calls >= uint64(w.servers)*coldCalls && !now.Before(w.coldUntil)
}
