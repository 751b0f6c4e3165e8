// Package logs writes log lines without ever blocking the goroutine that logs them.
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
	// queueCapacity is the number of lines that can be queued for a slow output; further ones are dropped.
	queueCapacity = 4096
	// linesPerSecond bounds the sustained rate of lines, and lineBurst the lines at once, so that under load logging uses
	// a bounded part of a small CPU share.
	linesPerSecond = 200
	lineBurst      = 1000
	// closeTimeout bounds the wait for the output to take the queued lines at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines for an output. It drops lines that exceed the rate or the capacity of the queue, and writes the
// number of dropped lines before the next line. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
}

// NewWriter returns a writer to an output and a function that flushes the queue.
func NewWriter(output io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, queueCapacity), limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
	closing, done := make(chan struct{}), make(chan struct{})
	go w.run(output, closing, done)
	var once sync.Once
	return w, func() {
		once.Do(func() { close(closing) })
		select {
		case <-done:
		case <-time.After(closeTimeout):
		}
	}
}

// Write queues one line. It never blocks and never fails.
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
			w.writeLine(output, line)
		case <-closing:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(output, line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line, preceded by the number of lines that were dropped before it. It ignores errors of the output,
// because there is nowhere to report them.
func (w *Writer) writeLine(output io.Writer, line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(output, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines were dropped\"}\n", dropped)
	}
	_, _ = output.Write(line)
}
