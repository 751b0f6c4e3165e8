package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimiters holds one rate limiter for each named resource. It is safe for concurrent use.
type RateLimiters struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewRateLimiters returns an empty set. Limiters are created on first use.
func NewRateLimiters() *RateLimiters {
	return &RateLimiters{limiters: map[string]*rate.Limiter{}}
}

// Allow reports whether one more call may use a resource and counts it if so. A changed rate or burst applies at once,
// and the limiter keeps its accumulated tokens.
func (r *RateLimiters) Allow(resource string, perSecond float64, burst int, now time.Time) bool {
	return r.limiter(resource, perSecond, burst, now).AllowN(now, 1)
}

// limiter returns the limiter of a resource with the current rate and burst.
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
