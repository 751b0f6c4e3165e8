package ingress

import (
	"sync"
	"time"
)

// overloadExpiry is the time for which a service counts as overloaded after a gate refused an attempt on time. It is about
// two round trips and the latency of a call, within which the gates of a service that is no longer overloaded have room
// again.
const overloadExpiry = 300 * time.Millisecond

// overloadTracker tracks which services had no room for an attempt on time within overloadExpiry. It is safe for concurrent
// use. An attempt is on time if the gate may admit it only when the call is expected to meet its objective, and late if
// the call may finish after it.
//
// Load pattern: at lasting overload the first attempt of nearly every call is refused, and each refusal costs a round trip
// and the bytes of the whole call between failure domains. While a service is overloaded, calls skip the attempt on time
// and make late ones; a gate with room still serves them on time. After each overloadExpiry a call makes an attempt on
// time again.
type overloadTracker struct {
	mu sync.Mutex
	// until maps each service to the time until which it counts as overloaded. Entries stay, as a configuration has few
	// services.
	until map[string]time.Time
}

func newOverloadTracker() *overloadTracker {
	return &overloadTracker{until: map[string]time.Time{}}
}

// recordRefusal records that a gate of the service refused an attempt on time.
func (o *overloadTracker) recordRefusal(service string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until[service] = now.Add(overloadExpiry)
}

// overloaded reports whether calls to the service should make late attempts only.
func (o *overloadTracker) overloaded(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.until[service])
}
