// Package h2c makes the HTTP clients by which processes of the system keep one connection to each other. They speak HTTP/2
// without TLS: requests to one process share the connection, and headers that repeat cost a byte each.
package h2c

import (
	"net/http"
	"time"

	"samphireflow/internal/netfault"
)

// Options are the times of a client.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// PingAfter is the silence after which a connection is tested, and PingTimeout the time in which it must answer.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is the time that a connection without requests is kept; 0 for no bound.
	IdleTimeout time.Duration
}

// NewClient returns a client without connections.
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
