package node

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
)

// TestOddAnnouncementsLeaveTheOthersAlone guards against an announcement of another writer that makes the node lose its leases
// or stop following its backend server: each is refused, and the heartbeats of the backend server go on to count.
func TestOddAnnouncementsLeaveTheOthersAlone(t *testing.T) {
	future := time.Now().Add(time.Hour).UnixMilli()
	for name, change := range map[string]func(*apiv1.AnnounceRequest){
		"no instance":               func(r *apiv1.AnnounceRequest) { r.Server.Instance = "" },
		"instance is no text":       func(r *apiv1.AnnounceRequest) { r.Server.Instance = "\xff\xfe" },
		"instance with line breaks": func(r *apiv1.AnnounceRequest) { r.Server.Instance = "a\r\nb" },
		"long instance":             func(r *apiv1.AnnounceRequest) { r.Server.Instance = strings.Repeat("i", 60<<10) },
		"long version":              func(r *apiv1.AnnounceRequest) { r.Server.Version = strings.Repeat("v", 60<<10) },
		"version is no text":        func(r *apiv1.AnnounceRequest) { r.Server.Version = "\xff" },
		"other service":             func(r *apiv1.AnnounceRequest) { r.Server.Service = "desk" },
		"no address":                func(r *apiv1.AnnounceRequest) { r.Server.Addr = "" },
		"address without port":      func(r *apiv1.AnnounceRequest) { r.Server.Addr = "10.0.0.1" },
		"port out of range":         func(r *apiv1.AnnounceRequest) { r.Server.Addr = "10.0.0.1:70000" },
		"port 0":                    func(r *apiv1.AnnounceRequest) { r.Server.Addr = "10.0.0.1:0" },
		"address is a name":         func(r *apiv1.AnnounceRequest) { r.Server.Addr = "backend:80" },
		"too many slots":            func(r *apiv1.AnnounceRequest) { r.Server.Slots = math.MaxUint32 },
		"too many connections":      func(r *apiv1.AnnounceRequest) { r.Server.Connections = math.MaxUint32 },
		"cold for weeks":            func(r *apiv1.AnnounceRequest) { r.Server.ColdMs = math.MaxUint32 },
		"started in the future":     func(r *apiv1.AnnounceRequest) { r.Server.StartedUnixMs = future },
		"started before time":       func(r *apiv1.AnnounceRequest) { r.Server.StartedUnixMs = math.MinInt64 },
		"incarnation in the future": func(r *apiv1.AnnounceRequest) { r.Server.Incarnation = math.MaxUint64 },
		"sequence without a next":   func(r *apiv1.AnnounceRequest) { r.Sequence = math.MaxUint64 },
		"unknown state":             func(r *apiv1.AnnounceRequest) { r.Server.State = 99 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			home := startLeaseHome(t)
			n, kill := home.startNode(t)
			defer kill()
			n.options.Service = "rota"
			_, err := n.Announce(t.Context(), heartbeatOf(1, ready))
			require.NoError(t, err)
			odd := heartbeatOf(2, ready)
			// The entry claims to be of a later start, so that it would displace the backend server.
			odd.Server.Incarnation++
			odd.Server.StartedUnixMs++
			change(odd)
			_, err = n.Announce(t.Context(), odd)
			require.Error(t, err)
			slots := heartbeatOf(3, ready)
			slots.Server.Slots = 7
			_, err = n.Announce(t.Context(), slots)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				servers := home.hub.Members().Servers
				return len(servers) == 1 && servers[0].Instance == "s" && servers[0].Slots == 7
			}, 5*time.Second, time.Millisecond, "the node goes on renewing the lease of its backend server")
		})
	}
}

// TestOddWithdrawalLeavesTheLeasesAlone does the same with the withdrawal of an instance that cannot exist.
func TestOddWithdrawalLeavesTheLeasesAlone(t *testing.T) {
	home := startLeaseHome(t)
	n, kill := home.startNode(t)
	defer kill()
	for _, instance := range []string{"", "\xff", strings.Repeat("i", 60<<10)} {
		require.Error(t, n.Withdraw(t.Context(), instance))
	}
	_, err := n.Announce(t.Context(), heartbeatOf(1, ready))
	require.NoError(t, err)
	require.Eventually(t, func() bool { state, ok := home.stateAtHome(); return ok && state == ready }, 5*time.Second, time.Millisecond)
}
