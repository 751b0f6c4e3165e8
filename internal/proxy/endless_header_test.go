package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/balance"
	"samphireflow/internal/netfault"
	"samphireflow/internal/routing"
)

// TestEndlessHeaderIsNotBuffered sends a response header that does not end. The limit of net/http, 10 MB for each call, is
// more than a node has memory for.
func TestEndlessHeaderIsNotBuffered(t *testing.T) {
	// Above maxHeaderBytes with what the buffers of a connection hold, and below the limit of net/http.
	const most = 9 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	written := make(chan int, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			total, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
			for err == nil {
				var n int
				n, err = conn.Write([]byte(strings.Repeat("Field: x\r\n", 1000)))
				total += n
			}
			conn.Close()
			written <- total
		}
	}()
	info := &apiv1.BackendServer{Instance: "a", Addr: listener.Addr().String(), Slots: 1}
	dial := netfault.Dialer(time.Second)
	pool := newConnPool(&routing.Server{Info: info, Load: balance.NewLoad(info)}, dial)
	for name, transport := range map[string]http.RoundTripper{
		"direct":      pool.transport,
		"gate":        newGateServer(info, true, time.Now(), dial).transport,
		"other gates": New(Options{Now: time.Now}).gateTransport,
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodGet, "http://"+info.Addr+"/", nil)
			require.NoError(t, err)
			_, err = transport.RoundTrip(request)
			require.Error(t, err)
			require.Less(t, <-written, most)
		})
	}
}
