package replica

import (
	"net/http"
	"time"

	"samphireflow/internal/netfault"
)

const (
	// pingAfter is the silence after which a connection to another member is tested, and pingTimeout the time in which it
	// must answer: a connection that is silent for good must be replaced well within an election timeout or two.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// newPeerClient returns the HTTP client for messages to other members. It speaks HTTP/2 without TLS: the headers, which
// repeat with each heartbeat, then cost a few bytes.
func newPeerClient(timeout time.Duration) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:        netfault.Dialer(timeout),
		Protocols:          protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DisableCompression: true,
	}}
}
