package link

import (
	"math"
	"time"
)

const (
	// lengthWeight is the weight of the newest response in the mean length of the responses of a route.
	lengthWeight = 0.1
	// maxRoutes limits the number of routes with a mean of their own. Beyond it the means are dropped and measured again.
	maxRoutes = 4096
	// shortSpan is the time over which the rate of short responses is taken; they come by tens a second.
	shortSpan = time.Second
	// leastShare is the share of the link that is expected to be left for long responses whatever short ones there are.
	leastShare = 0.25
)

// Backlog counts the bytes of long responses that are promised and not sent yet. It reads no clock and is not safe for
// concurrent use.
//
// Load pattern: 162 responses a second of 90 kB on average and 540 kB at most come from 11 instances with links of 21 Mbit/s:
// half of what the links can carry on average, more than that in waves. Slots that are free say nothing about the link, and a
// response that arrives after its time has been sent in place of one that would have been in time.
//
// Invariant: promised is the sum of what is open in all promises, and 0 without any.
type Backlog struct {
	bytesPerSecond float64
	promised       int64
	lengths        map[string]float64
	// short is the sum of the bytes of short responses, which loses all but 1/e in shortSpan, at shortAt.
	short   float64
	shortAt time.Time
}

// Promise is the part of one call in a backlog.
type Promise struct {
	route string
	open  int64
}

// NewBacklog returns an empty backlog of a link with the given capacity, which is above 0.
func NewBacklog(bytesPerSecond float64) *Backlog {
	return &Backlog{bytesPerSecond: bytesPerSecond, lengths: map[string]float64{}}
}

// Promise adds the expected length of a response of the route, 0 before the first one.
func (b *Backlog) Promise(route string) *Promise {
	p := &Promise{route: route}
	b.set(p, int64(b.lengths[route]))
	return p
}

// Answered replaces the expected length by the true one.
func (b *Backlog) Answered(p *Promise, length int64) {
	if len(b.lengths) > maxRoutes {
		clear(b.lengths)
	}
	if mean, known := b.lengths[p.route]; known {
		b.lengths[p.route] = mean + lengthWeight*(float64(length)-mean)
	} else {
		b.lengths[p.route] = float64(length)
	}
	b.set(p, length)
}

// Sent takes bytes that were sent out of the backlog.
func (b *Backlog) Sent(p *Promise, bytes int) { b.set(p, max(p.open-int64(bytes), 0)) }

// End takes what is left of a promise out of the backlog.
func (b *Backlog) End(p *Promise) { b.set(p, 0) }

func (b *Backlog) set(p *Promise, open int64) {
	b.promised += open - p.open
	p.open = open
}

// Short counts a short response, which is sent before all long ones.
func (b *Backlog) Short(bytes int, now time.Time) {
	b.short = b.shortBytes(now) + float64(bytes)
	b.shortAt = now
}

func (b *Backlog) shortBytes(now time.Time) float64 {
	return b.short * math.Exp(-float64(now.Sub(b.shortAt))/float64(shortSpan))
}

// Wait returns the time that the link takes for all that is promised, beside the short responses.
func (b *Backlog) Wait(now time.Time) time.Duration { return b.duration(float64(b.promised), now) }

// Misses reports whether the response of a new call would arrive after finishBy because of the link. Run is the time that the
// call is expected to run: what is promised is sent meanwhile.
func (b *Backlog) Misses(route string, run time.Duration, finishBy, now time.Time) bool {
	wait := b.Wait(now)
	return wait > run && now.Add(wait+b.duration(b.lengths[route], now)).After(finishBy)
}

func (b *Backlog) duration(bytes float64, now time.Time) time.Duration {
	left := max(b.bytesPerSecond-b.shortBytes(now)/shortSpan.Seconds(), leastShare*b.bytesPerSecond)
	return time.Duration(bytes / left * float64(time.Second))
}
