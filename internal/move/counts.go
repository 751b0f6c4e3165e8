package move

import (
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// bucketCount is the number of duration buckets that are kept; longer durations go into the last.
	bucketCount = 24
	// bucketUnit is the upper bound of bucket 0; each further bucket doubles it.
	bucketUnit = 250 * time.Microsecond
)

// Counts sums the outcomes of calls to one version on one route.
type Counts struct {
	OK     uint64
	Errors uint64
	// Broken counts calls ended by the death or reset of a backend server.
	Broken  uint64
	Buckets [bucketCount]uint64
}

// countsOf reads a reported count. The errors of a report include the broken calls.
func countsOf(outcome *apiv1.OutcomeCount) Counts {
	counts := Counts{OK: outcome.Ok, Errors: outcome.Errors - min(outcome.Broken, outcome.Errors), Broken: outcome.Broken}
	for i, n := range outcome.DurationBuckets {
		counts.Buckets[min(i, bucketCount-1)] += n
	}
	return counts
}

// Add sums two counts.
func (c *Counts) Add(other Counts) {
	c.OK += other.OK
	c.Errors += other.Errors
	c.Broken += other.Broken
	for i, n := range other.Buckets {
		c.Buckets[i] += n
	}
}

// Timed returns the count of calls with a duration.
func (c *Counts) Timed() uint64 {
	var sum uint64
	for _, n := range c.Buckets {
		sum += n
	}
	return sum
}

// Above returns the count of calls in buckets above the given one.
func (c *Counts) Above(bucket int) uint64 {
	var sum uint64
	for i := max(bucket+1, 0); i < bucketCount; i++ {
		sum += c.Buckets[i]
	}
	return sum
}

// Busy estimates the time that the calls took together, from the middles of their buckets.
func (c *Counts) Busy() time.Duration {
	const middle = 0.75
	sum := 0.0
	for i, n := range c.Buckets {
		sum += float64(n) * middle * math.Ldexp(float64(bucketUnit), i)
	}
	return time.Duration(sum)
}
