package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// earlyEnd is how a server ends a connection while an upload is still being written to it.
type earlyEnd struct {
	name string
	// end ends the connection after the response was written.
	end func(*net.TCPConn)
	// whole is set if the response is complete then.
	whole bool
}

var earlyEnds = []earlyEnd{
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}, false},
	{"closed with unread bytes, which resets the connection", func(c *net.TCPConn) {
		awaitQueue(c, unix.SIOCINQ, func(unread int) bool { return unread > 0 })
		_ = c.Close()
	}, false},
	{"closed for sending, the upload is read to its end", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}, true},
	{"closed for sending, then closed", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		awaitDelivery(c)
		_ = c.Close()
	}, true},
	{"closed for sending, then reset", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		awaitDelivery(c)
		_ = c.SetLinger(0)
		_ = c.Close()
	}, true},
}

// awaitDelivery waits until the other side's kernel has all that was sent, the end included.
func awaitDelivery(c *net.TCPConn) {
	awaitQueue(c, unix.SIOCOUTQ, func(unsent int) bool { return unsent == 0 })
}

// awaitQueue waits until the length of one of the kernel's queues of a connection meets a condition.
func awaitQueue(c *net.TCPConn, queue uint, condition func(length int) bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	length := 0
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		err := raw.Control(func(fd uintptr) { length, _ = unix.IoctlGetInt(int(fd), queue) })
		if err != nil || condition(length) {
			return
		}
	}
}

// startEarlyServer starts a server that reads the beginning of a request, writes a response and ends the connection.
func startEarlyServer(t *testing.T, response string, end func(*net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 512))
				_, _ = io.WriteString(c, response)
				// The client writes on meanwhile.
				time.Sleep(time.Millisecond)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	uploadBytes = 4 << 20
	// buffered stands for a body that is sent in one write, of bufferedBytes.
	buffered      = -2
	bufferedBytes = 60 << 10
)

// TestResponseThatEndsBeforeItsUpload guards against a part of a response that is taken for the whole, because the writing side of the
// exchange has taken the error of the reset and the reading side sees a regular end. A response without a length that ends regularly is
// complete, also while the upload is not.
func TestResponseThatEndsBeforeItsUpload(t *testing.T) {
	const rounds = 20
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, bodyBytes := range []int{0, 40, 400_000} {
			for _, end := range earlyEnds {
				for _, length := range []int64{uploadBytes, -1, 0, buffered} {
					if length == 0 && strings.Contains(end.name, "unread") {
						continue
					}
					name := fmt.Sprintf("%.8s %d, %d bytes, upload of %d, %s", head, len(head), bodyBytes, length, end.name)
					t.Run(name, func(t *testing.T) {
						body := strings.Repeat("x", bodyBytes)
						addr := startEarlyServer(t, head+body, end.end)
						client := NewClient(time.Second)
						var wrong atomic.Int64
						var running sync.WaitGroup
						for range rounds {
							running.Go(func() {
								request := newRequest("")
								request.EchoHeader = ""
								switch length {
								case 0:
								case buffered:
									request.Method, request.Body = "POST", bytes.Repeat([]byte("u"), bufferedBytes)
								default:
									request.Method, request.Stream, request.StreamLength = "POST", io.LimitReader(endless{}, uploadBytes), length
								}
								got, err := readWhole(client, addr, request)
								complete := err == nil && got == body
								if end.whole != complete || err == nil && !complete {
									t.Logf("%d bytes, %v", len(got), err)
									wrong.Add(1)
								}
							})
						}
						running.Wait()
						require.Zero(t, wrong.Load(), "of %d responses", rounds)
					})
				}
			}
		}
	}
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = 'u'
	}
	return len(buffer), nil
}

// readWhole sends a request and reads its response to the end.
func readWhole(client *Client, addr string, request *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := client.Do(ctx, addr, request)
	if err != nil {
		return "", err
	}
	var body bytes.Buffer
	body.Write(response.Body)
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
		if _, err := io.Copy(&body, response.Rest); err != nil {
			return body.String(), err
		}
	}
	return body.String(), nil
}

// TestFramedResponseThatIsCutUnderItsUpload: a length and chunks tell that a response is cut, however its connection ends. The responses of
// other nodes are framed so.
func TestFramedResponseThatIsCutUnderItsUpload(t *testing.T) {
	const rounds = 10
	part := strings.Repeat("x", 40)
	for name, response := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n" + part,
		"length, nothing of it": "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\n",
		"long":                  "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + strings.Repeat("x", 400_000),
		"in a chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + part,
		"between chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + part + "\r\n",
		"before the last line":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n" + part + "\r\n0\r\n",
		"in the head":           "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		for _, end := range earlyEnds {
			t.Run(name+", "+end.name, func(t *testing.T) {
				addr := startEarlyServer(t, response, end.end)
				client := NewClient(time.Second)
				var running sync.WaitGroup
				var whole atomic.Int64
				for range rounds {
					running.Go(func() {
						request := newRequest("")
						request.EchoHeader, request.Method, request.Stream, request.StreamLength = "", "POST", io.LimitReader(endless{}, uploadBytes), -1
						if _, err := readWhole(client, addr, request); err == nil {
							whole.Add(1)
						}
					})
				}
				running.Wait()
				require.Zero(t, whole.Load(), "of %d responses", rounds)
			})
		}
	}
}
