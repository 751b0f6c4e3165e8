package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxEndlessBytes is far above what a client may read of a response that never ends and what the buffers of a connection
// hold.
const maxEndlessBytes = 32 << 20

// startEndlessServer responds to the first request on a connection with a text and then repeats another text until the
// client closes the connection. It sends the number of bytes that it could write.
func startEndlessServer(t *testing.T, text, repeated string) (string, <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		total, _ := io.WriteString(conn, text)
		block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
		for err == nil {
			var n int
			n, err = conn.Write(block)
			total += n
		}
		written <- total
	}()
	return listener.Addr().String(), written
}

// TestEndlessResponsesEndTheExchange sends bytes that are no response, or belong to none, until the client closes. The
// client must give up early, although the deadline of the request is far away.
func TestEndlessResponsesEndTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct{ text, repeated string }{
		"status line":                     {"", "x"},
		"empty lines":                     {"", "\r\n"},
		"one header field":                {head + "Field: ", "x"},
		"header fields":                   {head, "Field: x\r\n"},
		"interim responses":               {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of a late response":         {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4611686018427387904\r\n\r\n", "x"},
		"late responses":                  {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx"},
		"chunked body of late response":   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":                      {head + "Transfer-Encoding: chunked\r\n\r\n", "1"},
		"chunk extension":                 {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"chunk extensions":                {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":                         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: x\r\n"},
		"bytes after the chunk of a body": {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndlessServer(t, c.text, c.repeated)
			started := time.Now()
			_, err := NewClient(time.Second).Do(testContext(t), addr, newRequest("1"))
			require.ErrorIs(t, err, ErrBroken)
			require.Less(t, <-written, maxEndlessBytes)
			require.Less(t, time.Since(started), testTimeout/2)
		})
	}
}

// TestEndlessBytesAfterAResponseAreNotRead completes a response that is followed by bytes without end: it counts, and the
// connection is closed.
func TestEndlessBytesAfterAResponseAreNotRead(t *testing.T) {
	addr, written := startEndlessServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", "x")
	client := NewClient(time.Second)
	response, err := client.Do(testContext(t), addr, newRequest("1"))
	require.NoError(t, err)
	require.Equal(t, "ok", string(response.Body))
	// A connection whose bytes came only after the exchange is closed when the next request finds them.
	require.Eventually(t, func() bool {
		idle := client.pool.get(addr, false, time.Now())
		if idle != nil {
			client.pool.put(idle, time.Now())
		}
		return idle == nil
	}, testTimeout, time.Millisecond)
	require.Less(t, <-written, maxEndlessBytes)
}

// TestEndlessBodyIsReadOnlyAsFarAsItIsForwarded reads the start of a body without end and then closes the response.
func TestEndlessBodyIsReadOnlyAsFarAsItIsForwarded(t *testing.T) {
	for name, header := range map[string]string{"without length": "", "chunked": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndlessServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+header+"\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
			response, err := NewClient(time.Second).Do(testContext(t), addr, newRequest("1"))
			require.NoError(t, err)
			require.LessOrEqual(t, len(response.Body), maxBufferedBody+1)
			require.NoError(t, response.Rest.Close())
			require.Less(t, <-written, maxEndlessBytes)
		})
	}
}

// TestHeaderOfManyFieldsIsRefused guards against headers that take much more memory decoded than sent: each of their fields is
// a few bytes long.
func TestHeaderOfManyFieldsIsRefused(t *testing.T) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\n")
	for i := 0; head.Len() < 128<<10; i++ {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	addr, _ := startEndlessServer(t, head.String()+"Content-Length: 0\r\n\r\n", "x")
	_, err := NewClient(time.Second).Do(testContext(t), addr, newRequest("1"))
	require.ErrorIs(t, err, ErrBroken)
	require.ErrorContains(t, err, errHeaderTooLong.Error())
}
