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

// server answers each connection by a script: the n-th request on it gets the n-th text; an empty text closes.
func server(t *testing.T, script ...string) string {
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

func ask(id string) *Request {
	return &Request{Method: "GET", Target: "/a?b", Host: "h", Header: http.Header{"Id": {id}}, EchoHeader: "Id"}
}

func ctxOf(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

const whole = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"

func TestExchangeOverOneConnection(t *testing.T) {
	c := NewClient(time.Second)
	addr := server(t, whole, whole)
	for _, id := range []string{"1", "2"} {
		response, err := c.Do(ctxOf(t), addr, ask(id))
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
	_, err = NewClient(time.Second).Do(ctxOf(t), addr, ask("1"))
	require.ErrorIs(t, err, ErrNotSent)
}

// TestWhatIsNoWholeAnswer makes every way in which an answer can fail: none of them may pass for one.
func TestWhatIsNoWholeAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"closed without an answer": "",
		"cut in the header":        "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Le",
		"cut in the body":          "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 20\r\n\r\ncut",
		"cut in a chunk":           "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncut",
		"no HTTP":                  "cut this is not an answer\r\n\r\n",
		"foreign and closing":      "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\nContent-Length: 3\r\n\r\ncut",
	} {
		_, err := NewClient(time.Second).Do(ctxOf(t), server(t, text+cutMark(text)), ask("1"))
		require.ErrorIs(t, err, ErrBroken, name)
	}
}

// cutMark makes the server close after a text that does not say so itself.
func cutMark(text string) string {
	if text == "" || strings.Contains(text, "cut") {
		return ""
	}
	return "cut"
}

// TestLateAnswerIsSkipped has the server answer the first request twice: the second answer comes where that to the next
// request is due, and must not be taken for it.
func TestLateAnswerIsSkipped(t *testing.T) {
	c := NewClient(time.Second)
	extra := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nstale"
	addr := server(t, whole, extra+whole)
	_, err := c.Do(ctxOf(t), addr, ask("1"))
	require.NoError(t, err)
	response, err := c.Do(ctxOf(t), addr, ask("2"))
	require.NoError(t, err)
	require.Equal(t, "ok", string(response.Body))
	require.EqualValues(t, 1, c.Dials())
}

// TestUnaskedBytesEndTheConnection has the server send bytes after a whole answer.
func TestUnaskedBytesEndTheConnection(t *testing.T) {
	c := NewClient(time.Second)
	addr := server(t, whole+"rubbish", whole)
	_, err := c.Do(ctxOf(t), addr, ask("1"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		response, err := c.Do(ctxOf(t), addr, ask("2"))
		return err == nil && string(response.Body) == "ok"
	}, testTimeout, time.Millisecond)
	require.Greater(t, c.Dials(), int64(1))
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	addr := server(t, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nuntil the cut")
	response, err := NewClient(time.Second).Do(ctxOf(t), addr, ask("1"))
	require.NoError(t, err)
	require.Equal(t, "until the cut", string(response.Body))
}

// endless is a body that never ends.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) { return len(buffer), nil }

// TestEarlyAnswerEndsTheConnection has the server answer before it has read a long body: the answer counts, and the
// connection, where the rest of the body is due, carries no other request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	c := NewClient(time.Second)
	early := "HTTP/1.1 413 early\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
	addr := server(t, early, early)
	for range 2 {
		request := ask("1")
		request.Method, request.Stream, request.StreamLength = "POST", endless{}, 1<<40
		response, err := c.Do(ctxOf(t), addr, request)
		require.NoError(t, err)
		require.Equal(t, 413, response.Status)
	}
	require.EqualValues(t, 2, c.Dials())
}

func TestEndOfContextBreaksOff(t *testing.T) {
	gone := make(chan struct{})
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
		close(gone)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-read
		cancel()
	}()
	_, err = NewClient(time.Second).Do(ctx, listener.Addr().String(), ask("1"))
	require.ErrorIs(t, err, ErrBroken)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Fatal("the other side was not told")
	}
}
