package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// startServer starts a server that responds to the n-th request on each connection with the n-th text of the script. It
// closes the connection at an empty text and after a text that contains "cut". It replaces {id} by the ID of the request
// and does not read the body if the text contains "early".
func startServer(t *testing.T, script ...string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, text := range script {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if !strings.Contains(text, "early") {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					if text == "" {
						return
					}
					_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", r.Header.Get("Id")))
					if strings.Contains(text, "cut") {
						return
					}
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func newRequest(id string) *Request {
	return &Request{Method: "GET", Target: "/a?b", Host: "h", Header: http.Header{"Id": {id}}, EchoHeader: "Id"}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"

func TestExchangeOverOneConnection(t *testing.T) {
	c := NewClient(time.Second)
	addr := startServer(t, completeResponse, completeResponse)
	for _, id := range []string{"1", "2"} {
		response, err := c.Do(testContext(t), addr, newRequest(id))
		require.NoError(t, err)
		require.Equal(t, "ok", string(response.Body))
		require.Equal(t, id, response.Header.Get("Id"))
	}
	require.EqualValues(t, 1, c.Dials())
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = NewClient(time.Second).Do(testContext(t), addr, newRequest("1"))
	require.ErrorIs(t, err, ErrNotSent)
}

// TestIncompleteResponseIsBroken checks that no incomplete, malformed or foreign response is taken for a complete one.
func TestIncompleteResponseIsBroken(t *testing.T) {
	for name, text := range map[string]string{
		"closed without an answer": "",
		"cut in the header":        "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Le",
		"cut in the body":          "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 20\r\n\r\ncut",
		"cut in a chunk":           "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncut",
		"no HTTP":                  "cut this is not an answer\r\n\r\n",
		"foreign and closing":      "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\nContent-Length: 3\r\n\r\ncut",
	} {
		_, err := NewClient(time.Second).Do(testContext(t), startServer(t, text+closeMarker(text)), newRequest("1"))
		require.ErrorIs(t, err, ErrBroken, name)
	}
}

// closeMarker returns the suffix that makes the server close the connection after a text that does not contain it yet.
func closeMarker(text string) string {
	if text == "" || strings.Contains(text, "cut") {
		return ""
	}
	return "cut"
}

// TestLateResponseIsSkipped guards against taking a late response to an earlier request for the response to the next one.
// The server responds to the first request twice.
func TestLateResponseIsSkipped(t *testing.T) {
	c := NewClient(time.Second)
	late := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nstale"
	addr := startServer(t, completeResponse, late+completeResponse)
	_, err := c.Do(testContext(t), addr, newRequest("1"))
	require.NoError(t, err)
	response, err := c.Do(testContext(t), addr, newRequest("2"))
	require.NoError(t, err)
	require.Equal(t, "ok", string(response.Body))
	require.EqualValues(t, 1, c.Dials())
}

// TestUnsolicitedBytesCloseTheConnection checks that a connection is not reused if the server sends bytes after a complete
// response.
func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	c := NewClient(time.Second)
	addr := startServer(t, completeResponse+"rubbish", completeResponse)
	_, err := c.Do(testContext(t), addr, newRequest("1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		response, err := c.Do(testContext(t), addr, newRequest("2"))
		return err == nil && string(response.Body) == "ok"
	}, testTimeout, time.Millisecond)
	require.Greater(t, c.Dials(), int64(1))
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	addr := startServer(t, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nuntil the cut")
	response, err := NewClient(time.Second).Do(testContext(t), addr, newRequest("1"))
	require.NoError(t, err)
	require.Equal(t, "until the cut", string(response.Body))
}

// endlessReader is a body that never ends.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) { return len(buffer), nil }

// TestEarlyResponseClosesTheConnection checks a response that comes before a long body was sent. The response counts. The
// connection is not reused, because the server still expects the rest of the body on it.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	c := NewClient(time.Second)
	early := "HTTP/1.1 413 early\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
	addr := startServer(t, early, early)
	for range 2 {
		request := newRequest("1")
		request.Method, request.Stream, request.StreamLength = "POST", endlessReader{}, 1<<40
		response, err := c.Do(testContext(t), addr, request)
		require.NoError(t, err)
		require.Equal(t, 413, response.Status)
	}
	require.EqualValues(t, 2, c.Dials())
}

func TestEndOfContextAbortsTheExchange(t *testing.T) {
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	read := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		_, _ = conn.Read(buffer)
		close(read)
		_, _ = conn.Read(buffer)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, err = NewClient(time.Second).Do(ctx, listener.Addr().String(), newRequest("1"))
	require.ErrorIs(t, err, ErrBroken)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the server did not notice the end of the context")
	}
}
