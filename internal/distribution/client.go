package distribution

import (
	"net/http"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/h2c"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// requestTimeout bounds a request that the receiver answers without waiting.
	requestTimeout = 2 * time.Second
	// pingAfter is the time without traffic after which a connection is checked with a ping, and pingTimeout the time
	// limit for the reply.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// idleTimeout is the time after which a connection without requests is closed. It is longer than any interval between
	// renewals.
	idleTimeout = time.Minute
)

// Client sends requests to one control instance, relay or node.
type Client struct {
	Addr         string
	Distribution apiv1.Distribution
	Membership   apiv1.Membership
	Relay        apiv1.Relay
}

// NewHTTPClient returns an HTTP client to be shared by all Clients of a process, so that the watch, the renewals and the
// reports to one receiver share a connection.
func NewHTTPClient() *http.Client {
	return h2c.NewClient(h2c.Options{DialTimeout: dialTimeout, PingAfter: pingAfter, PingTimeout: pingTimeout, IdleTimeout: idleTimeout})
}

// ServerProtocols returns the protocols that a server must accept: unencrypted HTTP/2 from Clients, and HTTP/1 from
// operators' tools.
func ServerProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Dial returns a client for the process at a control address (IP:port). It does not open a connection.
func Dial(addr string, client *http.Client) *Client {
	base := "http://" + addr
	return &Client{
		Addr:         addr,
		Distribution: apiv1.NewDistributionProtobufClient(base, client),
		Membership:   apiv1.NewMembershipProtobufClient(base, client),
		Relay:        apiv1.NewRelayProtobufClient(base, client),
	}
}

// DialAll returns a client for each address.
func DialAll(addrs []string, client *http.Client) []*Client {
	clients := make([]*Client, 0, len(addrs))
	for _, addr := range addrs {
		clients = append(clients, Dial(addr, client))
	}
	return clients
}
