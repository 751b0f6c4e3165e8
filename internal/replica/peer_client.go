package replica

import (
	"net/http"
	"time"

	"samphireflow/internal/h2c"
)

const (
	// pingAfter is the silence after which a connection to another member is tested, and pingTimeout the time in which it
	// must answer: a connection that is silent for good must be replaced well within an election timeout or two.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// newPeerClient returns the HTTP client for messages to other members.
func newPeerClient(timeout time.Duration) *http.Client {
	return h2c.NewClient(h2c.Options{DialTimeout: timeout, PingAfter: pingAfter, PingTimeout: pingTimeout})
}
