package traffic

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros bounds the latencies that the histograms record, and significantDigits is their precision.
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// requestFunc makes the request with the given number.
type requestFunc func(number uint64) *http.Request

// loadStats is the result of the calls of a load.
type loadStats struct {
	latencies *hdrhistogram.Histogram
	succeeded int64
	failed    int64
	elapsed   time.Duration
}

func newLoadStats() *loadStats {
	return &loadStats{latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// merge adds the calls of another result.
func (s *loadStats) merge(other *loadStats) {
	s.latencies.Merge(other.latencies)
	s.succeeded += other.succeeded
	s.failed += other.failed
	s.elapsed += other.elapsed
}

// quantile returns the latency below which the given percentage of the calls stays.
func (s *loadStats) quantile(percent float64) time.Duration {
	return time.Duration(s.latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// loadGenerator sends calls from a fixed number of workers.
type loadGenerator struct {
	client  *http.Client
	workers int
	// perSecond is the call rate of all workers together. With 0, each worker sends its next call as soon as the last
	// one is answered.
	perSecond float64
	number    *atomic.Uint64
}

func newClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: 10 * time.Second}
}

// run sends calls for the given time. A latency lasts from sending a call to the end of its response.
func (l *loadGenerator) run(ctx context.Context, duration time.Duration, makeRequest requestFunc) *loadStats {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	perWorker := newStatsPerWorker(l.workers)
	started := time.Now()
	var wg sync.WaitGroup
	for worker := range l.workers {
		wg.Go(func() { l.work(ctx, worker, perWorker[worker], makeRequest) })
	}
	wg.Wait()
	total := newLoadStats()
	for _, stats := range perWorker {
		total.merge(stats)
	}
	total.elapsed = time.Since(started)
	return total
}

func newStatsPerWorker(n int) []*loadStats {
	list := make([]*loadStats, n)
	for i := range list {
		list[i] = newLoadStats()
	}
	return list
}

// work sends one worker's calls, evenly spread over time.
func (l *loadGenerator) work(ctx context.Context, worker int, stats *loadStats, makeRequest requestFunc) {
	var gap time.Duration
	if l.perSecond > 0 {
		gap = time.Duration(float64(l.workers) / l.perSecond * float64(time.Second))
	}
	next := time.Now().Add(gap * time.Duration(worker) / time.Duration(l.workers))
	for ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		next = next.Add(gap)
		l.send(stats, makeRequest(l.number.Add(1)))
	}
}

func (l *loadGenerator) send(stats *loadStats, r *http.Request) {
	sent := time.Now()
	response, err := l.client.Do(r)
	if err != nil {
		stats.failed++
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		stats.failed++
		return
	}
	stats.succeeded++
	_ = stats.latencies.RecordValue(max(time.Since(sent).Microseconds(), 1))
}
