package link

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// usableShare is the share of the link that is given to responses; requests to other nodes and messages about members
	// take the rest.
	usableShare = 0.9
	// pieceBytes is the length of the pieces in which long responses are sent. A link of 21 Mbit/s takes 3 ms for one.
	pieceBytes = 8 << 10
	// maxHeld bounds the bytes of long responses that were read from the backend server and are not sent yet, so that their
	// slots could be freed.
	maxHeld = 8 << 20
	// maxLongBody is the longest response that is held whole.
	maxLongBody = 1 << 20
	bitsPerByte = 8
	megabit     = 1e6
)

// Link is the network link of an instance as its gate uses it. It is safe for concurrent use.
type Link struct {
	now func() time.Time

	mu      sync.Mutex
	backlog *Backlog
	turns   *Turns
	timer   *time.Timer
	// used is set at the first call with a long response. Without one the link has no effect.
	used bool
	held int64
	// refusals counts the calls that Promise refused.
	refusals int64
}

// New returns a link with the given capacity in Mbit/s, nil if it is 0.
func New(mbps float64, now func() time.Time) *Link {
	if mbps <= 0 {
		return nil
	}
	bytesPerSecond := usableShare * mbps * megabit / bitsPerByte
	return &Link{now: now, backlog: NewBacklog(bytesPerSecond), turns: NewTurns(bytesPerSecond)}
}

// Wait returns the time that the link takes for the long responses that are promised, 0 for a nil link.
func (l *Link) Wait() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog.Wait(l.now())
}

// Held returns the number of bytes of long responses that are held, 0 for a nil link.
func (l *Link) Held() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Refusals returns the number of calls that Promise refused, 0 for a nil link.
func (l *Link) Refusals() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals
}

// Promise counts a call with a long response, which ends with End. It returns nil and the time by which the response would
// be late if it would arrive after finishBy because of the link. Run is the time that the call is expected to run.
func (l *Link) Promise(route string, run time.Duration, finishBy time.Time) (*Transfer, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = true
	now := l.now()
	if l.backlog.Misses(route, run, finishBy, now) {
		l.refusals++
		return nil, now.Add(l.backlog.Wait(now)).Sub(finishBy)
	}
	return &Transfer{link: l, promise: l.backlog.Promise(route)}, 0
}

// Charge counts a short response, which is sent at once.
func (l *Link) Charge(bytes int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used {
		now := l.now()
		l.turns.Charge(bytes, now)
		l.backlog.Short(bytes, now)
	}
}

// take waits for the turn of a piece.
func (l *Link) take(ctx context.Context, bytes int, objective time.Time) error {
	piece := &turn{objective: objective, bytes: bytes, ready: make(chan struct{})}
	l.mu.Lock()
	l.turns.add(piece)
	l.schedule()
	l.mu.Unlock()
	select {
	case <-piece.ready:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.turns.remove(piece)
		return errors.Wrap(ctx.Err(), "wait for the link")
	}
}

// schedule gives turns now and when the next one is due.
func (l *Link) schedule() {
	wait := l.turns.next(l.now())
	if wait <= 0 {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.schedule()
	})
}

// Transfer is a long response on the link.
type Transfer struct {
	link    *Link
	promise *Promise
	held    int64
}

// Hold reports whether a body of the given length may be read from the backend server before it is sent, so that the slot is
// freed. Without room in the account of bytes held the backend server waits for the link.
func (t *Transfer) Hold(length int64) bool {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	if length > maxLongBody || t.link.held+length > maxHeld {
		return false
	}
	t.link.held += length - t.held
	t.held = length
	return true
}

// Answered replaces the expected length of the response by the true one, unless that is not known (-1), and what is held for
// it by the length of the part that was read.
func (t *Transfer) Answered(length int64, read int) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	if length >= 0 {
		t.link.backlog.Answered(t.promise, length)
	}
	t.link.held += int64(read) - t.held
	t.held = int64(read)
}

// End ends the transfer, whether the response was sent or not.
func (t *Transfer) End() {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.backlog.End(t.promise)
	t.link.held -= t.held
	t.held = 0
}

// Writer returns a writer that sends the response in pieces.
func (t *Transfer) Writer(ctx context.Context, w io.Writer, objective time.Time) io.Writer {
	return &pieceWriter{ctx: ctx, transfer: t, w: w, objective: objective}
}

// sent counts a piece that was sent.
func (t *Transfer) sent(bytes int) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	t.link.backlog.Sent(t.promise, bytes)
}
