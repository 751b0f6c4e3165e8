package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatusLineIsNoResponse sends status lines that RFC 9110, section 15, and RFC 9112, section 4, do not allow, each
// followed by a valid response. The exchange must fail at once, although the deadline of the request is far away, and its
// connection must be closed.
func TestInvalidStatusLineIsNoResponse(t *testing.T) {
	for name, line := range map[string]string{
		"000":                      "HTTP/1.1 000 ",
		"below 100":                "HTTP/1.1 099 Odd",
		"above 599":                "HTTP/1.1 600 Odd",
		"999":                      "HTTP/1.1 999 Odd",
		"sign":                     "HTTP/1.1 +20 Odd",
		"two digits":               "HTTP/1.1 20 Odd",
		"four digits":              "HTTP/1.1 2000 Odd",
		"no number":                "HTTP/1.1 abc Odd",
		"no status":                "HTTP/1.1",
		"switch to another":        "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other",
		"HTTP/2":                   "HTTP/2.0 200 OK",
		"HTTP/0.9":                 "HTTP/0.9 200 OK",
		"no version":               "HTTP 200 OK",
		"another protocol":         "RTSP/1.0 200 OK",
		"000 after an interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 ",
		"000 behind a late answer": "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 ",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, line+"\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
				_, _ = reader.ReadByte()
			}()
			started := time.Now()
			_, err = NewClient(time.Second).Do(testContext(t), listener.Addr().String(), newRequest("1"))
			require.ErrorIs(t, err, ErrBroken)
			require.Less(t, time.Since(started), testTimeout/2)
			select {
			case <-closed:
			case <-time.After(testTimeout):
				require.Fail(t, "the connection stays open")
			}
		})
	}
}
