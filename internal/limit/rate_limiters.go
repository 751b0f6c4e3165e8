package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimiters holds the rate limiter of each named resource. It is safe for use by many goroutines.
type RateLimiters struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewRateLimiters returns a set without limiters.
func NewRateLimiters() *RateLimiters {
	return &RateLimiters{limiters: map[string]*rate.Limiter{}}
}

// Allow takes one call of a resource. Settings that have changed hold at once and keep what was saved up.
func (r *RateLimiters) Allow(resource string, perSecond float64, burst int, now time.Time) bool {
	return r.limiter(resource, perSecond, burst, now).AllowN(now, 1)
}

func (r *RateLimiters) limiter(resource string, perSecond float64, burst int, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.limiters[resource]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiters[resource] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	if limiter.Burst() != burst {
		limiter.SetBurstAt(now, burst)
	}
	return limiter
}
