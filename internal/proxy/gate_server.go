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
	// spareConnections is the number of connections that are kept free for probes of the platform.
	spareConnections = 8
	// callerQueueShare is the share of a gate's queue that one caller may hold. Calls without HeaderCaller count for the
	// node that sent them.
	callerQueueShare = 0.5
	// defaultConnections is the number of connections of a backend server that announces none.
	defaultConnections = 64
)

// gateServer is the state of a gate for one incarnation of its backend server.
//
// Invariants: the granted connections, those of the transport and the spare ones together never exceed the number of
// connections that the backend server accepts; the calls that the gate forwards at a time never exceed the slots.
type gateServer struct {
	info      *apiv1.BackendServer
	server    routing.Server
	grants    *limit.ConnectionGrants
	queue     *limit.Queue
	transport *http.Transport
	// tracedTransport is transport with spans.
	tracedTransport http.RoundTripper
	slots           int
}

// newGateServer returns the state for an incarnation. Fresh means that no connections to it can have been granted before.
func newGateServer(info *apiv1.BackendServer, fresh bool, now time.Time, dial dialFunc) *gateServer {
	slots, own, grantable := splitConnections(info)
	s := &gateServer{
		info:   info,
		server: routing.Server{Info: info, Load: balance.NewLoad(info)},
		grants: limit.RecoverConnectionGrants(grantable, now),
		queue:  limit.NewQueue(),
		slots:  slots,
		transport: &http.Transport{
			DialContext:         countingDialer(dial),
			MaxConnsPerHost:     own,
			MaxIdleConnsPerHost: own,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
	s.tracedTransport = tracing.Transport(s.transport)
	if fresh {
		s.grants = limit.NewConnectionGrants(grantable)
	}
	return s
}

// splitConnections divides the connections of a backend server into the gate's own and those that it can grant to
// other nodes.
func splitConnections(info *apiv1.BackendServer) (slots, own, grantable int) {
	slots = max(int(info.Slots), 1)
	connections := int(info.Connections)
	if connections == 0 {
		connections = defaultConnections
	}
	own = max(min(slots, connections-spareConnections), 1)
	return slots, own, max(connections-own-spareConnections, 0)
}

// matches reports whether an announcement is of this incarnation.
func (s *gateServer) matches(info *apiv1.BackendServer) bool {
	return s.info.Instance == info.Instance && s.info.Incarnation == info.Incarnation && s.info.Addr == info.Addr
}

// acquire reserves a slot. It waits in the queue for a free one until the context ends.
func (s *gateServer) acquire(ctx context.Context, c *call) *refusal {
	if s.queue.Empty() && s.server.Load.Begin() {
		return nil
	}
	waiter, err := s.queue.Enqueue(c.caller, s.slots, callerQueueShare)
	if err != nil {
		return s.noSlotRefusal()
	}
	defer s.queue.Remove(waiter)
	for {
		if waiter.IsFirst() && s.server.Load.Begin() {
			return nil
		}
		select {
		case <-waiter.Wakeup():
		case <-ctx.Done():
			return s.noSlotRefusal()
		}
	}
}

// noSlotRefusal returns the refusal of a call that found no free slot. It is marked as shed, so that the calling node
// retries with another backend server.
func (s *gateServer) noSlotRefusal() *refusal {
	refused := notRunRefusal(http.StatusServiceUnavailable, "backend server "+s.info.Instance+" has no free slot")
	refused.shed = true
	return refused
}

// release releases a slot.
func (s *gateServer) release() {
	s.server.Load.End()
	s.queue.Wake()
}
