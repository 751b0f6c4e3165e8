package traffic

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/bench"
)

const (
	// chainDepth is the number of services that a call passes through.
	chainDepth = 8
	// chainRate is the number of chained calls per second.
	chainRate = 100
)

// measureChain measures a call that passes through eight services, each of which calls the next one through a node. The
// baseline is the same chain of direct calls.
func measureChain(ctx context.Context, _ int64) ([]bench.Result, error) {
	client := newClient(loadWorkers)
	direct := newServiceChain(client, false)
	defer direct.close()
	viaNode := newServiceChain(client, true)
	defer viaNode.close()
	l := &loadGenerator{client: client, workers: loadWorkers / 4, perSecond: chainRate, number: &atomic.Uint64{}}
	l.run(ctx, roundDuration, viaNode.firstRequest)
	baseline, viaNodeStats := newLoadStats(), newLoadStats()
	for range rounds {
		baseline.merge(l.run(ctx, roundDuration, direct.firstRequest))
		viaNodeStats.merge(l.run(ctx, roundDuration, viaNode.firstRequest))
	}
	return addedLatencyResults(fmt.Sprintf("chain %d deep", chainDepth), baseline, viaNodeStats, 0), ctx.Err()
}

// serviceChain is a chain of backend servers; node is nil when they call each other directly.
type serviceChain struct {
	servers []*httptest.Server
	node    *httptest.Server
}

// newServiceChain starts the services from last to first. When it returns, each service knows the address that it
// calls: that of the next service, or that of the node.
func newServiceChain(client *http.Client, viaNode bool) *serviceChain {
	c := &serviceChain{}
	var services []string
	var infos []*apiv1.BackendServer
	addrs := make([]string, chainDepth+1)
	for level := chainDepth; level >= 1; level-- {
		name := fmt.Sprintf("s%d", level)
		next := &atomic.Pointer[string]{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if level < chainDepth && !callNext(client, r, level+1, *next.Load()) {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
			_, _ = w.Write([]byte("ok"))
		}))
		addrs[level] = server.Listener.Addr().String()
		c.servers = append(c.servers, server)
		services = append(services, name)
		infos = append(infos, &apiv1.BackendServer{
			Instance: name, FailureDomain: "hobart", Service: name, Version: "v1", Addr: addrs[level], Slots: 64,
			State: apiv1.ServerState_SERVER_STATE_READY, Incarnation: 1,
		})
		defer func() {
			addr := addrs[min(level+1, chainDepth)]
			if viaNode {
				addr = c.node.Listener.Addr().String()
			}
			next.Store(&addr)
		}()
	}
	if viaNode {
		c.node = newNode(defaultSettings(), services, infos...)
	}
	return c
}

// callNext calls the next service of the chain while serving an incoming call, and passes its deadline and depth on.
func callNext(client *http.Client, incoming *http.Request, level int, addr string) bool {
	r, err := http.NewRequestWithContext(incoming.Context(), http.MethodGet, fmt.Sprintf("http://%s/s%d/x", addr, level), nil)
	if err != nil {
		return false
	}
	for _, name := range []string{"Samphireflow-Deadline", "Samphireflow-Depth"} {
		if value := incoming.Header.Get(name); value != "" {
			r.Header.Set(name, value)
		}
	}
	stats := newLoadStats()
	(&loadGenerator{client: client}).send(stats, r)
	return stats.succeeded == 1
}

// firstRequest makes the request to the first service.
func (c *serviceChain) firstRequest(uint64) *http.Request {
	addr := c.servers[chainDepth-1].Listener.Addr().String()
	if c.node != nil {
		addr = c.node.Listener.Addr().String()
	}
	r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/s1/x", nil)
	return r
}

func (c *serviceChain) close() {
	if c.node != nil {
		c.node.Close()
	}
	for _, server := range c.servers {
		server.Close()
	}
}
