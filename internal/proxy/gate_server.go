package proxy

import (
	"context"
	"net/http"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/limit"
	"samphireflow/internal/routing"
	"samphireflow/internal/tracing"
)

const (
	// gateSpare is the number of connections that are kept free beyond the slots, for probes of the platform.
	gateSpare = 8
	// gateNodeShare is the share of a gate's queue that one node may hold.
	gateNodeShare = 0.5
	// defaultConnections stands for backend servers that announce no number of connections.
	defaultConnections = 64
)

// gateServer is one start of the backend server beside a node.
//
// Invariant: the connections that the ledger grants and those of the transport, together with the spare ones, never
// exceed the connections that the backend server accepts; the gate's own calls never exceed its slots.
type gateServer struct {
	info      *apiv1.BackendServer
	server    routing.Server
	ledger    *limit.ConnectionGrants
	queue     *limit.Queue
	transport *http.Transport
	// traced is the transport with spans.
	traced http.RoundTripper
	slots  int
}

// newGateServer returns the state of a start. Fresh means that no connection to it can have been granted before.
func newGateServer(info *apiv1.BackendServer, fresh bool, now time.Time, dial dialFunc) *gateServer {
	slots, own, granted := divide(info)
	s := &gateServer{
		info:   info,
		server: routing.Server{Info: info, Load: balance.NewLoad(info)},
		ledger: limit.RecoverConnectionGrants(granted, now),
		queue:  limit.NewQueue(),
		slots:  slots,
		transport: &http.Transport{
			DialContext:         countingDialer(dial),
			MaxConnsPerHost:     own,
			MaxIdleConnsPerHost: own,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
	s.traced = tracing.Transport(s.transport)
	if fresh {
		s.ledger = limit.NewConnectionGrants(granted)
	}
	return s
}

// divide splits the connections of a backend server into the gate's own and those for other nodes.
func divide(info *apiv1.BackendServer) (slots, own, granted int) {
	slots = max(int(info.Slots), 1)
	connections := int(info.Connections)
	if connections == 0 {
		connections = defaultConnections
	}
	own = max(min(slots, connections-gateSpare), 1)
	return slots, own, max(connections-own-gateSpare, 0)
}

// is reports whether an announcement is of this start.
func (s *gateServer) is(info *apiv1.BackendServer) bool {
	return s.info.Instance == info.Instance && s.info.Incarnation == info.Incarnation && s.info.Addr == info.Addr
}

// acquire waits for a slot for a short time.
func (s *gateServer) acquire(ctx context.Context, c *call) *refusal {
	if s.queue.Empty() && s.server.Load.Begin() {
		return nil
	}
	ticket, err := s.queue.Enqueue(c.caller, s.slots, gateNodeShare)
	if err != nil {
		return s.full()
	}
	defer s.queue.Remove(ticket)
	for {
		if ticket.IsFirst() && s.server.Load.Begin() {
			return nil
		}
		select {
		case <-ticket.Wakeup():
		case <-ctx.Done():
			return s.full()
		}
	}
}

// full is the refusal of a call that found no slot; another backend server may have one.
func (s *gateServer) full() *refusal {
	bad := notRun(http.StatusServiceUnavailable, "backend server "+s.info.Instance+" has no free slot")
	bad.shed = true
	return bad
}

// release gives a slot back.
func (s *gateServer) release() {
	s.server.Load.End()
	s.queue.Wake()
}
