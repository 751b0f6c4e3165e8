// Package h2c provides HTTP clients that speak HTTP/2 without TLS (h2c) between processes of the system. Requests to the
// same process share one connection, and HPACK compresses repeated header fields to a byte each.
package h2c

import (
	"net/http"
	"time"

	"samphireflow/internal/netfault"
)

// Options configures the timeouts of a client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// PingAfter is the time without received data after which the client pings the server. If no response arrives within
	// PingTimeout, the connection is closed.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed; 0 means never.
	IdleTimeout time.Duration
}

// NewClient returns a client.
func NewClient(options Options) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:        netfault.Dialer(options.DialTimeout),
		Protocols:          protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: options.PingAfter, PingTimeout: options.PingTimeout},
		IdleConnTimeout:    options.IdleTimeout,
		DisableCompression: true,
	}}
}
