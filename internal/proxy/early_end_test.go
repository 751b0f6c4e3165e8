package proxy

import (
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEarlyResponseThatIsCutIsNotWhole guards against a part of a response that is taken for the whole: a backend server answers a long
// upload at once and resets the connection while it is still being written. Directly and through the gate.
func TestEarlyResponseThatIsCutIsNotWhole(t *testing.T) {
	upload := strings.Repeat("u", 900<<10)
	long := strings.Repeat("x", 400_000)
	for name, text := range map[string]string{
		"without a length":            "HTTP/1.1 200 OK\r\n\r\n" + long[:40],
		"without a length, long":      "HTTP/1.1 200 OK\r\n\r\n" + long,
		"of HTTP/1.0":                 "HTTP/1.0 200 OK\r\n\r\n" + long[:40],
		"with a length, cut":          "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n" + long[:40],
		"with a length, long and cut": "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + long,
		"in chunks, cut":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + long[:40] + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newCuttingServer(t)
			gate := newNamedTestGate(t, "a", server.addr, 10, 130)
			for path, info := range map[string]func() *testProxy{
				"direct": func() *testProxy {
					return newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), serverInfo("a", server.addr))
				},
				"gate": func() *testProxy {
					return newTestProxy(t, Options{Recorder: discardRecorder{}}, defaultSettings(), gate.info)
				},
			} {
				server.cut(text, true)
				p := info()
				var calls sync.WaitGroup
				for range 8 {
					calls.Go(func() {
						got := p.call(t, "POST", "/shifts/1", upload)
						if got.outcome == OutcomeDone {
							t.Errorf("%s: status %d, %s, %d bytes", path, got.status, got.outcome, len(got.body))
						}
					})
				}
				calls.Wait()
			}
			require.False(t, t.Failed())
		})
	}
}
