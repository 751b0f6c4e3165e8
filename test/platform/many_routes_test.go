package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/node"
)

const (
	// inForceWithin is the time from the acknowledgement of a configuration in which every node must act on it
	// (ConfigPropagationS of the settings).
	inForceWithin = 2 * time.Second
	// controlShare is the share of a processor core of a control instance, and nodeLinkBytes the bytes per second of a
	// node's link, 2 Mbit/s.
	controlShare  = 0.24
	nodeLinkBytes = 2_000_000 / 8
	// linkBurst is the number of bytes that a link delivers at once.
	linkBurst = 4 << 10

	runningNodes, startedNodes = 83, 10
	initialRoutes, addedRoutes = 25, 1000
	smallChanges               = 12
)

// routesDocument is a configuration with many routes, of which marker is the newest.
func routesDocument(number uint64, routes int, marker string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Version":"%08x","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutS","TargetLatencyS","Priority","Service","MaxAttempts"],"Rows":[`, number)
	for i := range routes {
		fmt.Fprintf(&b, `["r-%d","rota.example","/p%dq/","safe",2,0.5,1,"rota%d",2],`, i, i*7919, i%4)
	}
	fmt.Fprintf(&b, `["marker","rota.example","/%s/","safe",2,0.5,1,"rota0",2]]},"Services":{"Columns":["Name","HealthPath","MaxConnections"],"Rows":[`, marker)
	for i := range 4 {
		fmt.Fprintf(&b, `["rota%d","/health",560],`, i)
	}
	return strings.TrimSuffix(b.String(), ",") + `]},"Limits":{"MaxHeaderBytes":16384}}`
}

// thinLink is a connection over a link with few bytes per second, which all connections of the node share.
type thinLink struct {
	net.Conn
	limiter *rate.Limiter
}

func (l thinLink) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b[:min(len(b), linkBurst)])
	_ = l.limiter.WaitN(context.Background(), n)
	return n, err
}

// thinLinkClient returns the HTTP client of a node with a link of its own.
func thinLinkClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	limiter := rate.NewLimiter(nodeLinkBytes, linkBurst)
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			return thinLink{conn, limiter}, err
		},
	}}
}

// nodeFleet is a set of nodes in this process, each beside a backend server that announces itself.
type nodeFleet struct {
	t     *testing.T
	seeds []string
	ctx   context.Context
	tasks sync.WaitGroup
	nodes []*node.Node
}

func newNodeFleet(t *testing.T, seeds []string) *nodeFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &nodeFleet{t: t, seeds: seeds, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		f.tasks.Wait()
	})
	return f
}

func (f *nodeFleet) start() {
	i := len(f.nodes)
	service := "rota" + strconv.Itoa(i%4)
	n := node.New(node.Options{
		Instance:      "node-" + strconv.Itoa(i),
		FailureDomain: "zone-" + strconv.Itoa(i/4%4),
		ControlAddr:   net.JoinHostPort(ipOf(100), strconv.Itoa(10000+i)),
		GateAddr:      net.JoinHostPort(ipOf(100), strconv.Itoa(11000+i)),
		Control:       f.seeds,
		Client:        thinLinkClient(),
		Direct:        true,
		Timing:        node.Timing{WatchWait: inForceWithin / 2, StaleAge: inForceWithin / 3, FloorTimeout: inForceWithin / 4},
		Logger:        zerolog.Nop(),
	})
	f.nodes = append(f.nodes, n)
	f.tasks.Go(func() { _ = n.Run(f.ctx) })
	f.tasks.Go(func() { f.announce(n, service, i) })
}

// announce announces a backend server at the usual interval.
func (f *nodeFleet) announce(n *node.Node, service string, i int) {
	for sequence := uint64(1); ; sequence++ {
		_, _ = n.Announce(f.ctx, &apiv1.AnnounceRequest{Sequence: sequence, Server: &apiv1.BackendServer{
			Instance: "server-" + strconv.Itoa(i), Incarnation: 1, Service: service, Version: "v1", Slots: 9,
			FailureDomain: "zone-" + strconv.Itoa(i/4%4), State: apiv1.ServerState_SERVER_STATE_READY,
			Addr: net.JoinHostPort(ipOf(100), strconv.Itoa(12000+i)),
		}})
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ready returns the nodes that have a routing table.
func (f *nodeFleet) ready() []*node.Node {
	var list []*node.Node
	for _, n := range f.nodes {
		if n.Ready() {
			list = append(list, n)
		}
	}
	return list
}

// actsOn reports whether a node routes calls by a configuration with the marker.
func actsOn(n *node.Node, marker string) bool {
	table := n.Table()
	return table != nil && table.MatchHost("rota.example", "/"+marker+"/") != nil
}

// lateNodes waits until the nodes act on a configuration, at most inForceWithin after its acknowledgement, and counts
// those that do not by then. Later configurations replace the marker, so a node that acts on one of them counts as well.
func lateNodes(nodes []*node.Node, acked time.Time, markers func() []string) int {
	for {
		late := 0
		for _, n := range nodes {
			inForce := false
			for _, marker := range markers() {
				inForce = inForce || actsOn(n, marker)
			}
			if !inForce {
				late++
			}
		}
		if late == 0 || time.Since(acked) > inForceWithin {
			return late
		}
		time.Sleep(pollInterval)
	}
}

// TestSmallChangesAreInForceInTimeAfterManyRoutes adds 1,000 routes and then makes small changes, each as soon as the one
// before is acknowledged, while nodes start. The control instances have a quarter of a processor core each and the nodes
// thin links. The cost of a change used to grow with the whole configuration.
func TestSmallChangesAreInForceInTimeAfterManyRoutes(t *testing.T) {
	d := newDeployment(t)
	for i := 1; i <= 4; i++ {
		process := d.start(i, fmt.Sprintf("Serves = [\"control_plane\"]\nDataDir = %q", filepath.Join(d.dir, strconv.Itoa(i))), "GOMAXPROCS=1")
		limitProcessorShare(t, process, controlShare)
	}
	number := uint64(0)
	publish := func(routes int, marker string) {
		next := number + 3
		document := routesDocument(next, routes, marker)
		attempt := 0
		d.eventually("configuration "+marker+" is accepted", func() bool {
			attempt++
			status, _, _ := d.call("PUT", d.addr(1+attempt%4, 3), "/-/config", document, "If-Match", fmt.Sprintf("%08x", number), "Content-Type", "application/json")
			return status == http.StatusOK
		})
		number = next
	}
	publish(initialRoutes, "first")
	fleet := newNodeFleet(t, d.seeds)
	for range runningNodes {
		fleet.start()
	}
	d.eventually("all nodes are ready", func() bool { return len(fleet.ready()) == runningNodes })

	var mu sync.Mutex
	var markers []string
	var checks sync.WaitGroup
	late := map[string]int{}
	change := func(routes int, marker string) {
		publish(routes, marker)
		acked, nodes := time.Now(), fleet.ready()
		mu.Lock()
		markers = append(markers, marker)
		from := len(markers) - 1
		mu.Unlock()
		checks.Go(func() {
			count := lateNodes(nodes, acked, func() []string {
				mu.Lock()
				defer mu.Unlock()
				return append([]string(nil), markers[from:]...)
			})
			mu.Lock()
			defer mu.Unlock()
			if count > 0 {
				late[marker] = count
			}
		})
	}
	routes := initialRoutes + addedRoutes
	change(routes, "many")
	for i := range smallChanges {
		if len(fleet.nodes) < runningNodes+startedNodes {
			fleet.start()
		}
		change(routes, "small-"+strconv.Itoa(i))
	}
	checks.Wait()
	require.Empty(t, late, "nodes that act on an older configuration more than %s after the acknowledgement, by configuration", inForceWithin)
}
