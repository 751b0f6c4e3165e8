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
	// depth is the number of services that a call goes through.
	depth = 8
	// chainRate is the number of chains a second.
	chainRate = 100
)

// chain measures a call that goes through eight services, each of which calls the next through a node, against the same
// chain of direct calls.
func chain(ctx context.Context, _ int64) ([]bench.Result, error) {
	client := newClient(addedWorkers)
	direct := newChain(client, false)
	defer direct.close()
	viaNode := newChain(client, true)
	defer viaNode.close()
	l := &load{client: client, workers: addedWorkers / 4, perSecond: chainRate, number: &atomic.Uint64{}}
	l.run(ctx, roundTime, viaNode.first)
	baseline, through := newSample(), newSample()
	for range rounds {
		baseline.merge(l.run(ctx, roundTime, direct.first))
		through.merge(l.run(ctx, roundTime, viaNode.first))
	}
	return compare(fmt.Sprintf("chain %d deep", depth), baseline, through, 0), ctx.Err()
}

// links is a chain of backend servers, with a node or without.
type links struct {
	servers []*httptest.Server
	node    *httptest.Server
}

// newChain starts the last service first, so that each knows where the next one is.
func newChain(client *http.Client, viaNode bool) *links {
	c := &links{}
	var services []string
	var infos []*apiv1.BackendServer
	addrs := make([]string, depth+1)
	for level := depth; level >= 1; level-- {
		name := fmt.Sprintf("s%d", level)
		next := &atomic.Pointer[string]{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if level < depth && !callNext(client, r, level+1, *next.Load()) {
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
			addr := addrs[min(level+1, depth)]
			if viaNode {
				addr = c.node.Listener.Addr().String()
			}
			next.Store(&addr)
		}()
	}
	if viaNode {
		c.node = newNode(defaults(), services, infos...)
	}
	return c
}

// callNext calls the next service of the chain on behalf of a call.
func callNext(client *http.Client, on *http.Request, level int, addr string) bool {
	r, err := http.NewRequestWithContext(on.Context(), http.MethodGet, fmt.Sprintf("http://%s/s%d/x", addr, level), nil)
	if err != nil {
		return false
	}
	for _, name := range []string{"Samphireflow-Deadline", "Samphireflow-Depth"} {
		if value := on.Header.Get(name); value != "" {
			r.Header.Set(name, value)
		}
	}
	one := newSample()
	(&load{client: client}).call(one, r)
	return one.good == 1
}

// first makes the call to the first service.
func (c *links) first(uint64) *http.Request {
	addr := c.servers[depth-1].Listener.Addr().String()
	if c.node != nil {
		addr = c.node.Listener.Addr().String()
	}
	r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/s1/x", nil)
	return r
}

func (c *links) close() {
	if c.node != nil {
		c.node.Close()
	}
	for _, server := range c.servers {
		server.Close()
	}
}
