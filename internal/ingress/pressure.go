package ingress

import (
	"sync"
	"time"
)

// pressedTime is the time for which a service counts as pressed after a gate had no room for a call in time: about two
// round trips and a call, in which the gates of a service that is not pressed any more have room again.
const pressedTime = 300 * time.Millisecond

// pressure remembers which services had no room for an answer in time a moment ago. It is safe for use by many goroutines.
//
// Load pattern: at lasting overload the first question of nearly every call is refused, and each refusal costs a round trip
// and the bytes of the whole call between failure domains. While a service is pressed, calls ask for a later answer at
// once; a gate with room answers them in time all the same. Every pressedTime one call asks for an answer in time again.
type pressure struct {
	mu sync.Mutex
	// until is by service, of which a configuration has few.
	until map[string]time.Time
}

func newPressure() *pressure {
	return &pressure{until: map[string]time.Time{}}
}

// refused notes that a gate of a service had no room for a call in time.
func (p *pressure) refused(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until[service] = now.Add(pressedTime)
}

// pressed reports whether a call of a service had better ask for a later answer at once.
func (p *pressure) pressed(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[service])
}
