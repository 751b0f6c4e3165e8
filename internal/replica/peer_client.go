package replica

import (
	"net/http"
	"time"

	"samphireflow/internal/h2c"
)

const (
	// pingAfter is the idle time after which a connection to another member is checked with a ping, and pingTimeout is
	// the time limit for the reply. A dead connection must be replaced well within one or two election timeouts.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// newPeerClient returns the HTTP client for messages to other members.
func newPeerClient(timeout time.Duration) *http.Client {
	return h2c.NewClient(h2c.Options{DialTimeout: timeout, PingAfter: pingAfter, PingTimeout: pingTimeout})
}
