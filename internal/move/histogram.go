package move

// histogramMemory is the count of calls after which older ones weigh half.
const histogramMemory = 2000

// histogram is a running distribution of call durations over buckets that forgets older calls.
type histogram struct {
	buckets [bucketCount]float64
	total   float64
}

func (h *histogram) add(counts Counts) {
	calls := float64(counts.Timed())
	if calls == 0 {
		return
	}
	keep := histogramMemory / (histogramMemory + calls)
	h.total = h.total*keep + calls
	for i, n := range counts.Buckets {
		h.buckets[i] = h.buckets[i]*keep + float64(n)
	}
}

// shareAbove returns the share of calls in buckets above the given one, never quite 0.
func (h *histogram) shareAbove(bucket int) float64 {
	const priorSlow, priorCalls = 0.1, 20
	slow := 0.0
	for i := max(bucket+1, 0); i < bucketCount; i++ {
		slow += h.buckets[i]
	}
	return (slow + priorSlow) / (h.total + priorCalls)
}

// quantile returns the bucket that holds the quantile, from 0 to 1; -1 without calls.
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
