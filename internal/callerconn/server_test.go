package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const testTimeout = 5 * time.Second

// longResponse is the length of a response that is not sent in one write, in bytes.
const longResponse = 256 << 10

// startServer starts a server in which GET requests may be pipelined.
func startServer(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Options{
		Handler:        handler,
		MayPipeline:    func(r *http.Request) bool { return r.Method == http.MethodGet },
		MaxHeaderBytes: func() int { return 16 << 10 },
		HeaderTimeout:  func() time.Duration { return testTimeout },
		IdleTimeout:    func() time.Duration { return testTimeout },
		Logger:         zerolog.Nop(),
	})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		require.NoError(t, <-ended)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		require.NoError(t, s.Shutdown(ctx))
	})
	return s, listener.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func receive(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// TestPipelinedRequestsRunInParallel sends three requests at once, of which the first ends only after the others have
// started. The responses come in the order of the requests.
func TestPipelinedRequestsRunInParallel(t *testing.T) {
	others := make(chan struct{}, 2)
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-others
			<-others
		} else {
			others <- struct{}{}
		}
		fmt.Fprint(w, r.URL.Path)
	})
	conn, reader := dial(t, addr)
	send(t, conn, get("/1")+get("/2")+get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		_, body := receive(t, reader)
		require.Equal(t, want, body)
	}
}

// TestNonPipelinedRequestWaitsForEarlierResponses sends a request that must not run twice after one that may. Were it
// handled at once, an earlier response could close the connection, and the caller would send the request again.
func TestNonPipelinedRequestWaitsForEarlierResponses(t *testing.T) {
	release, began := make(chan struct{}), make(chan string, 2)
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- r.Method
		if r.Method == http.MethodGet {
			<-release
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Method, string(body))
	})
	conn, reader := dial(t, addr)
	send(t, conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	require.Equal(t, "GET", <-began)
	select {
	case method := <-began:
		t.Fatalf("%s was handled before the earlier response", method)
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	_, first := receive(t, reader)
	_, second := receive(t, reader)
	require.Equal(t, []string{"GET", "POSTbody"}, []string{first, second})
}

// TestClosedConnectionIsNoticedBehindPipelinedRequests closes a connection while an unread request waits on it.
func TestClosedConnectionIsNoticedBehindPipelinedRequests(t *testing.T) {
	began, canceled := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(canceled)
	})
	conn, _ := dial(t, addr)
	send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"+get("/2"))
	<-began
	require.NoError(t, conn.Close())
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("the context of the request did not end")
	}
}

func TestAbortedResponseIsIncomplete(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(make([]byte, 2*longResponse))
		panic(http.ErrAbortHandler)
	})
	conn, reader := dial(t, addr)
	send(t, conn, get("/"))
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
}

func TestResponseOfUnknownLengthIsChunked(t *testing.T) {
	long := strings.Repeat("0123456789", longResponse/5)
	_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(long); i += 1000 {
			_, _ = io.WriteString(w, long[i:min(i+1000, len(long))])
		}
	})
	conn, reader := dial(t, addr)
	send(t, conn, get("/1")+get("/2"))
	for range 2 {
		response, body := receive(t, reader)
		require.Equal(t, []string{"chunked"}, response.TransferEncoding)
		require.Equal(t, long, body)
	}
}

// TestCloseAfterResponsesCompletesRequestsInFlight stops the server while two requests are in flight. Both get a response,
// and only the last response announces that the connection closes.
func TestCloseAfterResponsesCompletesRequestsInFlight(t *testing.T) {
	began, release := make(chan struct{}, 2), make(chan struct{})
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	conn, reader := dial(t, addr)
	send(t, conn, get("/1")+get("/2"))
	<-began
	<-began
	s.CloseAfterResponses()
	close(release)
	first, _ := receive(t, reader)
	require.False(t, first.Close)
	second, body := receive(t, reader)
	require.True(t, second.Close)
	require.Equal(t, "/2", body)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// TestCloseAfterResponsesServesTheNextRequestOfAnIdleConnection checks that the next request on an idle connection is
// served, because the caller may have sent it before it could know of the stop.
func TestCloseAfterResponsesServesTheNextRequestOfAnIdleConnection(t *testing.T) {
	s, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	conn, reader := dial(t, addr)
	send(t, conn, get("/1"))
	receive(t, reader)
	s.CloseAfterResponses()
	send(t, conn, get("/2"))
	response, body := receive(t, reader)
	require.Equal(t, "/2", body)
	require.True(t, response.Close)
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })
	for text, want := range map[string]int{
		"rubbish\r\n\r\n":        http.StatusBadRequest,
		"GET / HTTP/1.1\r\n\r\n": http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 32<<10) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
	} {
		conn, reader := dial(t, addr)
		send(t, conn, text)
		response, _ := receive(t, reader)
		require.Equal(t, want, response.StatusCode)
		require.True(t, response.Close)
	}
}

func TestContinueIsSentBeforeTheBody(t *testing.T) {
	_, addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, string(body))
	})
	conn, reader := dial(t, addr)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100 Continue")
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	send(t, conn, "body")
	_, body := receive(t, reader)
	require.Equal(t, "body", body)
}
