package distribution

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/member"
)

// exchangeGroup is a group of control instances whose member tables are exchanged through an in-memory transport.
type exchangeGroup struct {
	hubs     map[string]*member.Hub
	handlers map[string]http.Handler

	mu sync.Mutex
	// cut holds the pairs of sender and receiver that cannot reach each other; copies counts the records sent.
	cut    map[[2]string]bool
	copies int
	// silent is the instance that answers nothing.
	silent string
	// requests counts the requests of each instance.
	requests map[string]int
}

func newExchangeGroup(ctx context.Context, size int) *exchangeGroup {
	g := &exchangeGroup{hubs: map[string]*member.Hub{}, handlers: map[string]http.Handler{}, cut: map[[2]string]bool{}}
	var addrs []string
	for i := range size {
		addr := fmt.Sprintf("10.0.0.%d:1", i+1)
		addrs = append(addrs, addr)
		g.hubs[addr] = member.NewHub(addr, 1)
		g.handlers[addr] = apiv1.NewRelayServer(exchangeService{group: g, hub: g.hubs[addr]})
	}
	for _, addr := range addrs {
		others := func() []string {
			var list []string
			for _, other := range addrs {
				if other != addr {
					list = append(list, other)
				}
			}
			return list
		}
		client := &http.Client{Transport: exchangeTransport{group: g, from: addr}}
		exchange := NewMemberExchange(addr, g.hubs[addr], client, others, zerolog.Nop())
		go func() { _ = exchange.Run(ctx) }()
	}
	return g
}

// renew renews the lease of a node at an instance.
func (g *exchangeGroup) renew(home, node string, revision uint64) {
	info := &apiv1.NodeInfo{Instance: node, Incarnation: 1, Revision: revision}
	g.hubs[home].Renew(&apiv1.RenewRequest{Node: info}, &apiv1.RenewResponse{}, time.Now())
}

// knows reports whether an instance has a revision of a node.
func (g *exchangeGroup) knows(addr, node string, revision uint64) bool {
	for _, info := range g.hubs[addr].Members().Nodes {
		if info.Instance == node && info.Revision == revision {
			return true
		}
	}
	return false
}

func (g *exchangeGroup) count(records int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.copies += records
}

// takeCopies returns the number of records sent since the last call.
func (g *exchangeGroup) takeCopies() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() { g.copies = 0 }()
	return g.copies
}

type exchangeService struct {
	group *exchangeGroup
	hub   *member.Hub
}

func (s exchangeService) Sync(_ context.Context, request *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	response := HandleSync(s.hub, request, true, time.Now())
	s.group.count(len(request.Nodes) + len(response.Nodes))
	return response, nil
}

func (s exchangeService) Probe(context.Context, *apiv1.ProbeRequest) (*apiv1.ProbeResponse, error) {
	return &apiv1.ProbeResponse{}, nil
}

type exchangeTransport struct {
	group *exchangeGroup
	from  string
}

func (t exchangeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.group.mu.Lock()
	cut := t.group.cut[[2]string{t.from, request.URL.Host}]
	silent := t.group.silent == request.URL.Host
	if t.group.requests == nil {
		t.group.requests = map[string]int{}
	}
	t.group.requests[t.from]++
	t.group.mu.Unlock()
	if silent {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if cut {
		return nil, errors.New("no path")
	}
	recorder := httptest.NewRecorder()
	t.group.handlers[request.URL.Host].ServeHTTP(recorder, request)
	response := recorder.Result()
	response.Request = request
	response.Body = io.NopCloser(recorder.Body)
	return response, nil
}

// TestChangeIsSentToEachInstanceTwiceAtMost replays the renewals of many nodes at a group of six and of eighteen control
// instances. The records sent must grow with the number of instances, not with its square.
func TestChangeIsSentToEachInstanceTwiceAtMost(t *testing.T) {
	for _, size := range []int{6, 18} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newExchangeGroup(t.Context(), size)
				time.Sleep(5 * time.Second)
				g.takeCopies()
				const nodes = 50
				for i := range nodes {
					g.renew(fmt.Sprintf("10.0.0.%d:1", i%size+1), fmt.Sprint("node-", i), 1)
				}
				time.Sleep(5 * time.Second)
				require.LessOrEqual(t, g.takeCopies(), 2*nodes*(size-1))
				for addr := range g.hubs {
					require.Len(t, g.hubs[addr].Members().Nodes, nodes)
				}
			})
		})
	}
}

// TestChangeReachesInstancePartitionedFromItsHome cuts one instance off from the home of a node in both directions. The
// change reaches it through another instance, whichever source it had chosen.
func TestChangeReachesInstancePartitionedFromItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newExchangeGroup(t.Context(), 5)
		time.Sleep(5 * time.Second)
		home := "10.0.0.1:1"
		for i := 2; i <= 5; i++ {
			other := fmt.Sprintf("10.0.0.%d:1", i)
			g.mu.Lock()
			g.cut = map[[2]string]bool{{home, other}: true, {other, home}: true}
			g.mu.Unlock()
			g.renew(home, "node", uint64(i))
			time.Sleep(5 * time.Second)
			require.True(t, g.knows(other, "node", uint64(i)), "instance %s", other)
		}
	})
}

// TestSilentInstanceHoldsNothingBack guards against a change that waits for the time limit of an exchange with another instance.
func TestSilentInstanceHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newExchangeGroup(t.Context(), 4)
		time.Sleep(5 * time.Second)
		g.mu.Lock()
		g.silent = "10.0.0.2:1"
		g.mu.Unlock()
		time.Sleep(time.Second + 300*time.Millisecond)
		for revision := range uint64(20) {
			g.renew("10.0.0.1:1", "node", revision+1)
			time.Sleep(syncBatchDelay + 50*time.Millisecond)
			for _, other := range []string{"10.0.0.3:1", "10.0.0.4:1"} {
				require.True(t, g.knows(other, "node", revision+1), "instance %s, revision %d", other, revision+1)
			}
		}
	})
}

// TestIsolatedInstanceAsksAtIntervals guards the processor of an instance that reaches no other one.
func TestIsolatedInstanceAsksAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newExchangeGroup(t.Context(), 4)
		time.Sleep(5 * time.Second)
		isolated := "10.0.0.1:1"
		g.mu.Lock()
		for i := 2; i <= 4; i++ {
			g.cut[[2]string{isolated, fmt.Sprintf("10.0.0.%d:1", i)}] = true
		}
		g.requests = nil
		g.mu.Unlock()
		const seconds = 20
		time.Sleep(seconds * time.Second)
		g.mu.Lock()
		requests := g.requests[isolated]
		g.mu.Unlock()
		// Three peers, asked every 0.75 to 1.25 s.
		require.Less(t, requests, 3*2*seconds)
		g.mu.Lock()
		g.cut = map[[2]string]bool{}
		g.mu.Unlock()
		g.renew("10.0.0.2:1", "node", 1)
		time.Sleep(2 * time.Second)
		require.True(t, g.knows(isolated, "node", 1))
	})
}

// TestEndOfLeaseReachesItsHome lets another instance declare a node gone whose home still renews its lease. The home must
// learn that, so that it has the node refute it.
func TestEndOfLeaseReachesItsHome(t *testing.T) {
	home, other := member.NewHub("home", 1), member.NewHub("other", 1)
	now := time.Now()
	request := &apiv1.RenewRequest{Node: &apiv1.NodeInfo{Instance: "node", Incarnation: 1, Revision: 1}}
	home.Renew(request, &apiv1.RenewResponse{}, now)
	held := home.ChangesAt("home", 0).Nodes
	other.Merge("home", held, nil, now)
	fetch := &apiv1.SyncRequest{Instance: "home", WantMembers: true, WantNodes: true}
	require.Empty(t, HandleSync(other, fetch, true, now).Nodes, "the receiver has its own active lease")
	other.ResolveOverdue(held[0], false, now)
	response := HandleSync(other, fetch, true, now)
	require.Len(t, response.Nodes, 1)
	require.True(t, response.Nodes[0].Gone)
}
