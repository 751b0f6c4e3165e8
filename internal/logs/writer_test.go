package logs

import (
	"bytes"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteDoesNotBlockOnFullOutput writes to a pipe that nobody reads: Write drops lines instead of blocking.
func TestWriteDoesNotBlockOnFullOutput(t *testing.T) {
	reader, output, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer output.Close()
	w, _ := NewWriter(output)
	done := make(chan struct{})
	go func() {
		defer close(done)
		line := bytes.Repeat([]byte("x"), 1<<10)
		for range 10 * queueCapacity {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on the output")
	}
	require.Positive(t, w.dropped.Load())
}

// syncBuffer is a buffer whose Write is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func TestDroppedLinesAreCounted(t *testing.T) {
	output := &syncBuffer{}
	w, closeWriter := NewWriter(output)
	for range lineBurst + 50 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.limiter.SetBurst(lineBurst + 100)
	w.limiter.SetLimit(1e9)
	time.Sleep(time.Millisecond)
	_, _ = w.Write([]byte("last\n"))
	closeWriter()
	output.mu.Lock()
	defer output.mu.Unlock()
	require.Contains(t, output.String(), "log lines were dropped")
	require.Contains(t, output.String(), "last")
}
