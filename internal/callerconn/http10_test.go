package callerconn

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallerOfHTTP10GetsNoChunks guards against a long response without a length that a caller of HTTP/1.0 takes for other bytes, because
// it knows no chunks, and against one that breaks off and looks complete to it.
func TestCallerOfHTTP10GetsNoChunks(t *testing.T) {
	body := strings.Repeat("x", longResponse)
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, body)
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
	})
	ask := func(path string) (string, error) {
		conn, reader := dial(t, addr)
		send(t, conn, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n")
		for {
			line, err := reader.ReadString('\n')
			require.NoError(t, err)
			require.NotContains(t, strings.ToLower(line), "transfer-encoding")
			if line == "\r\n" {
				break
			}
		}
		rest, err := io.ReadAll(reader)
		return string(rest), err
	}
	got, err := ask("/whole")
	require.NoError(t, err)
	require.Equal(t, body, got)
	_, err = ask("/broken")
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
