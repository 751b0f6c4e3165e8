package link

import "time"

// Turns decides which piece of a long response is sent next. It reads no clock and is not safe for concurrent use.
//
// Load pattern: a response of 540 kB occupies a link of 21 Mbit/s for 200 ms, and the answers of lookups with an objective of
// 300 ms wait behind it. Long responses are sent in pieces at the capacity of the link, so that nothing queues in front of a
// short answer but the piece that is being sent. Among long responses that with the earliest objective goes first.
type Turns struct {
	bytesPerSecond float64
	// freeAt is the time at which the link has sent all that was given to it.
	freeAt  time.Time
	waiting []*turn
}

// ahead is the time by which a piece may be sent before the link has sent what was given to it, so that the link does not
// idle when a busy process wakes up late.
const ahead = 5 * time.Millisecond

// turn is a piece that waits to be sent.
type turn struct {
	objective time.Time
	bytes     int
	ready     chan struct{}
}

// NewTurns returns the turns on a link with the given capacity, which is above 0.
func NewTurns(bytesPerSecond float64) *Turns { return &Turns{bytesPerSecond: bytesPerSecond} }

// Charge counts bytes that are sent at once.
func (t *Turns) Charge(bytes int, now time.Time) {
	if t.freeAt.Before(now) {
		t.freeAt = now
	}
	t.freeAt = t.freeAt.Add(time.Duration(float64(bytes) / t.bytesPerSecond * float64(time.Second)))
}

// add lets a piece wait.
func (t *Turns) add(piece *turn) { t.waiting = append(t.waiting, piece) }

// remove gives up a piece that waits.
func (t *Turns) remove(piece *turn) {
	for i, waiting := range t.waiting {
		if waiting == piece {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
}

// next makes the pieces ready that may be sent now. It returns the time until the next one may be, 0 if none waits.
func (t *Turns) next(now time.Time) time.Duration {
	for len(t.waiting) > 0 {
		if due := t.freeAt.Add(-ahead); due.After(now) {
			return due.Sub(now)
		}
		first := t.waiting[0]
		for _, waiting := range t.waiting[1:] {
			if waiting.objective.Before(first.objective) {
				first = waiting
			}
		}
		t.remove(first)
		t.Charge(first.bytes, now)
		close(first.ready)
	}
	return 0
}
