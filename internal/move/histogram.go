package move

// histogramDecayCalls is the number of calls that, added at once, halve the weight of the earlier ones.
const histogramDecayCalls = 2000

// histogram is a running distribution of call durations in which older calls lose weight.
type histogram struct {
	buckets [bucketCount]float64
	total   float64
}

func (h *histogram) add(counts Counts) {
	calls := float64(counts.WithDuration())
	if calls == 0 {
		return
	}
	keep := histogramDecayCalls / (histogramDecayCalls + calls)
	h.total = h.total*keep + calls
	for i, n := range counts.Buckets {
		h.buckets[i] = h.buckets[i]*keep + float64(n)
	}
}

// shareAbove returns the share of calls in buckets above the given one. A prior keeps it above 0.
func (h *histogram) shareAbove(bucket int) float64 {
	const priorSlow, priorCalls = 0.1, 20
	slow := 0.0
	for i := max(bucket+1, 0); i < bucketCount; i++ {
		slow += h.buckets[i]
	}
	return (slow + priorSlow) / (h.total + priorCalls)
}

// quantile returns the bucket that holds the quantile q, which is from 0 to 1; -1 without calls.
func (h *histogram) quantile(q float64) int {
	if h.total == 0 {
		return -1
	}
	sum := 0.0
	for i, n := range h.buckets {
		sum += n
		if sum >= q*h.total {
			return i
		}
	}
	return bucketCount - 1
}
