package outcome

import (
	"math/bits"
	"time"
)

const (
	// BucketCount is the number of duration buckets.
	BucketCount = 20
	// bucketUnit is the upper bound of the first bucket.
	bucketUnit = 250 * time.Microsecond
)

// Bucket returns the index of the bucket of a duration: bucket i holds durations below 2^i * 0.25 ms that no lower bucket
// holds, the last one all longer durations.
func Bucket(duration time.Duration) int {
	index := bits.Len64(uint64(max(duration, 0) / bucketUnit))
	return min(index, BucketCount-1)
}
