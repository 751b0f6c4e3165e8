package distribution

import (
	"net/http"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/h2c"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// requestTimeout bounds a request that is answered at once.
	requestTimeout = 2 * time.Second
	// pingAfter is the silence after which a connection is tested, and pingTimeout the time in which it must answer.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// idleTime is the time that a connection without requests is kept, longer than any pause between renewals.
	idleTime = time.Minute
)

// Client reaches one control instance, relay or node.
type Client struct {
	Addr         string
	Distribution apiv1.Distribution
	Membership   apiv1.Membership
	Relay        apiv1.Relay
}

// NewHTTPClient returns the HTTP client that a process shares for all Clients: the watch, the renewals and the reports to
// one process share a connection.
func NewHTTPClient() *http.Client {
	return h2c.NewClient(h2c.Options{DialTimeout: dialTimeout, PingAfter: pingAfter, PingTimeout: pingTimeout, IdleTimeout: idleTime})
}

// ServerProtocols returns what a server that Clients reach must speak; operators' tools use HTTP/1.
func ServerProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Dial returns a client of the process at a control address, IP:port. It makes no connection yet.
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
