package move

import (
	"math"
	"time"

	apiv1 "samphireflow/api/v1"
)

const (
	// bucketCount is the number of duration buckets. Durations beyond the last bound count in the last bucket.
	bucketCount = 24
	// firstBucketBound is the upper bound of bucket 0; the bound doubles with each further bucket.
	firstBucketBound = 250 * time.Microsecond
)

// Counts holds totals of the outcomes of calls to one version on one route.
type Counts struct {
	OK     uint64
	Errors uint64
	// Broken counts calls that ended by a crash of the backend server or a reset of its connection.
	Broken uint64
	// Buckets is a histogram of call durations.
	Buckets [bucketCount]uint64
}

// countsOf converts a report. Errors in a report include the broken calls; in Counts they do not.
func countsOf(outcome *apiv1.OutcomeCount) Counts {
	counts := Counts{OK: outcome.Ok, Errors: outcome.Errors - min(outcome.Broken, outcome.Errors), Broken: outcome.Broken}
	for i, n := range outcome.DurationBuckets {
		counts.Buckets[min(i, bucketCount-1)] += n
	}
	return counts
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.OK += other.OK
	c.Errors += other.Errors
	c.Broken += other.Broken
	for i, n := range other.Buckets {
		c.Buckets[i] += n
	}
}

// WithDuration returns the number of calls whose duration is known.
func (c *Counts) WithDuration() uint64 {
	var sum uint64
	for _, n := range c.Buckets {
		sum += n
	}
	return sum
}

// Above returns the number of calls in buckets above the given one.
func (c *Counts) Above(bucket int) uint64 {
	var sum uint64
	for i := max(bucket+1, 0); i < bucketCount; i++ {
		sum += c.Buckets[i]
	}
	return sum
}

// TotalDuration estimates the sum of the call durations from the middles of their buckets.
func (c *Counts) TotalDuration() time.Duration {
	const middle = 0.75
	sum := 0.0
	for i, n := range c.Buckets {
		sum += float64(n) * middle * math.Ldexp(float64(firstBucketBound), i)
	}
	return time.Duration(sum)
}
