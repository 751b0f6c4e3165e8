// Package logs writes log lines without ever making their writer wait.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queuedLines is the number of lines that wait for a slow output; further ones are dropped.
	queuedLines = 4096
	// lineRate bounds the lines a second, and lineBurst those at once, so that logs cost a bounded part of a small
	// processor share under load.
	lineRate  = 200
	lineBurst = 1000
	// closeTime bounds the wait for the queued lines at the end of the process.
	closeTime = 200 * time.Millisecond
)

// Writer queues lines for an output. Lines beyond the rate or the queue are dropped, and their number is written once
// there is room again. It is safe for use by many goroutines.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// NewWriter returns a writer to an output and a function that writes out what is queued.
func NewWriter(output io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, queuedLines), limiter: rate.NewLimiter(lineRate, lineBurst)}
	closing, done := make(chan struct{}), make(chan struct{})
	go w.run(output, closing, done)
	var once sync.Once
	return w, func() {
		once.Do(func() { close(closing) })
		select {
		case <-done:
		case <-time.After(closeTime):
		}
	}
}

// Write queues one line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run(output io.Writer, closing, done chan struct{}) {
	defer close(done)
	for {
		select {
		case line := <-w.lines:
			w.put(output, line)
		case <-closing:
			for {
				select {
				case line := <-w.lines:
					w.put(output, line)
				default:
					return
				}
			}
		}
	}
}

// put writes a line. There is nowhere to tell of an output that fails.
func (w *Writer) put(output io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(output, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", dropped)
	}
	_, _ = output.Write(line)
}
