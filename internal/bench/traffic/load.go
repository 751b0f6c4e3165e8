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
	// longestDuration and figures bound what the histograms keep, in microseconds and significant figures.
	longestDuration = 60_000_000
	figures         = 3
)

// request makes the request of a number.
type request func(number uint64) *http.Request

// sample is what a load came to.
type sample struct {
	durations *hdrhistogram.Histogram
	good      int64
	bad       int64
	took      time.Duration
}

func newSample() *sample {
	return &sample{durations: hdrhistogram.New(1, longestDuration, figures)}
}

// merge adds another sample.
func (s *sample) merge(other *sample) {
	s.durations.Merge(other.durations)
	s.good += other.good
	s.bad += other.bad
	s.took += other.took
}

// quantile returns the duration below which a share of the calls, in percent, stays.
func (s *sample) quantile(percent float64) time.Duration {
	return time.Duration(s.durations.ValueAtQuantile(percent)) * time.Microsecond
}

// load sends calls from a fixed number of workers.
type load struct {
	client  *http.Client
	workers int
	// perSecond is the rate of all workers together; 0 sends the next call when the last one is answered.
	perSecond float64
	number    *atomic.Uint64
}

func newClient(workers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: 10 * time.Second}
}

// run sends calls for a time. Durations count from the sending of a call to the end of its answer.
func (l *load) run(ctx context.Context, length time.Duration, makeRequest request) *sample {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	samples := newSamples(l.workers)
	started := time.Now()
	var wg sync.WaitGroup
	for worker := range l.workers {
		wg.Go(func() { l.work(ctx, worker, samples[worker], makeRequest) })
	}
	wg.Wait()
	sum := newSample()
	for _, one := range samples {
		sum.merge(one)
	}
	sum.took = time.Since(started)
	return sum
}

func newSamples(n int) []*sample {
	list := make([]*sample, n)
	for i := range list {
		list[i] = newSample()
	}
	return list
}

// work sends one worker's calls, evenly spread over time.
func (l *load) work(ctx context.Context, worker int, into *sample, makeRequest request) {
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
		l.call(into, makeRequest(l.number.Add(1)))
	}
}

func (l *load) call(into *sample, r *http.Request) {
	sent := time.Now()
	response, err := l.client.Do(r)
	if err != nil {
		into.bad++
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		into.bad++
		return
	}
	into.good++
	_ = into.durations.RecordValue(max(time.Since(sent).Microseconds(), 1))
}
