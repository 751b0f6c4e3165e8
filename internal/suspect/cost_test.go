package suspect

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// BenchmarkLongBody measures what hashing adds to a body of 1 MiB that passes in pieces of 32 KiB.
func BenchmarkLongBody(b *testing.B) {
	data, piece := make([]byte, 1<<20), make([]byte, 32<<10)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		body := NewLongBody(bytes.NewReader(data), int64(len(data)), Identity{Caller: "desk", Target: "/1"})
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{body}, piece)
	}
}

// BenchmarkReportCompleted measures what a completed request without a body costs while no request is suspect.
func BenchmarkReportCompleted(b *testing.B) {
	tracker := NewTracker(Options{Now: time.Now, Logger: zerolog.Nop()})
	for b.Loop() {
		tracker.ReportCompleted(&Request{Service: "rota", Identity: Identity{Caller: "desk", Method: "GET", Host: "h", Target: "/lookup/1"}}, "v1")
	}
}

// maxTrackerBytes bounds what a tracker holds, out of the 64 MB of a node: an entry of a request with all its crashes takes 1 KB.
const maxTrackerBytes = 8 << 20

// TestTrackerIsBoundedUnderEverNewBodies guards against a node whose memory callers fill with ever new bodies, whether they complete or
// are in flight at crashes.
func TestTrackerIsBoundedUnderEverNewBodies(t *testing.T) {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	tracker := NewTracker(Options{Now: time.Now, Logger: zerolog.Nop()})
	now := time.Now()
	for n := range uint64(3 * maxEntries) {
		request := &Request{Service: "rota", Identity: Identity{Caller: "desk", Target: "/1"}, Body: []byte{byte(n), byte(n >> 8), byte(n >> 16)}}
		tracker.ReportCompleted(request, "v1")
		fingerprint, _ := request.fingerprint()
		for crash := range uint64(maxCrashes) {
			tracker.store.RecordCrash(crashReport{key: key{"rota", fingerprint}, process: ServerProcess{"a", n*maxCrashes + crash}, version: "v1"}, now)
		}
	}
	held := heap() - before
	t.Logf("%d bytes held", held)
	require.Less(t, held, int64(maxTrackerBytes))
	require.Len(t, tracker.store.entries, maxEntries)
	runtime.KeepAlive(tracker)
}
