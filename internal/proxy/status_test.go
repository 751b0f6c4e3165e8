package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidStatusLines are not allowed by RFC 9110, section 15, or RFC 9112, section 4.
var invalidStatusLines = []string{
	"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 +20 Odd", "HTTP/2.0 200 OK",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other",
}

// TestInvalidStatusLineIsNoResponse lets one of two backend servers send status lines that the standard does not allow. A call
// that may be repeated gets the response of the other one; another one is told that it may have run. The connection is not
// used again.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	for _, line := range invalidStatusLines {
		for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok"} {
			t.Run(line, func(t *testing.T) {
				odd := newRawServer(t, func(*http.Request, int64) (string, bool) { return line + "\r\n" + body, false })
				p := newTestProxy(t, Options{}, defaultSettings(), serverInfo("a", odd.addr))
				for range 2 {
					got := p.call(t, "POST", "/shifts/1", "x")
					require.Equal(t, http.StatusBadGateway, got.status)
					require.Equal(t, OutcomeUnknown, got.outcome)
				}
				require.EqualValues(t, 2, odd.requests.Load())
				require.EqualValues(t, 2, odd.conns.Load(), "a connection after an invalid status line is used again")

				whole := newRawServer(t, func(*http.Request, int64) (string, bool) { return okResponse, false })
				p.setTable(defaultSettings(), serverInfo("a", odd.addr), serverInfo("b", whole.addr))
				for range 5 {
					got := p.call(t, "GET", "/rota/1", "")
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, OutcomeDone, got.outcome)
				}
			})
		}
	}
}
