package distribution

import (
	"net/http"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/netfault"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// requestTimeout bounds a request that is answered at once.
	requestTimeout = 2 * time.Second
	// pingAfter is the silence after which a connection is tested, and pingTimeout the time in which it must answer.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// Client reaches one control instance, relay or node.
type Client struct {
	Addr         string
	Distribution apiv1.Distribution
	Membership   apiv1.Membership
	Relay        apiv1.Relay
}

// NewHTTPClient returns the HTTP client that a process shares for all Clients. It speaks HTTP/2 without TLS: the
// watch, the renewals and the reports to one process share a connection, and headers that repeat cost a byte each.
func NewHTTPClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:        netfault.Dialer(dialTimeout),
		Protocols:          protocols,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout:    time.Minute,
		DisableCompression: true,
	}}
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
