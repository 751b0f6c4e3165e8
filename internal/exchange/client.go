package exchange

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedBody is the longest response body that is buffered. The rest of a longer body is streamed.
const maxBufferedBody = 256 << 10

// The rest of a long response is passed on in pieces of maxPieceBytes, or of minPieceBytes without memory for these. So is a
// long body of a request in pieces of streamBufferSize.
const (
	maxPieceBytes = 64 << 10
	minPieceBytes = 4 << 10
)

// Client sends requests over persistent connections. It is safe for concurrent use.
type Client struct {
	dial dialFunc
	pool *pool
	// dials counts the attempts to open a connection.
	dials atomic.Int64
	// compress is set if header fields are compressed with HPACK.
	compress bool
}

// NewClient returns a client. Opening a connection fails after dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{dial: newDialer(dialTimeout), pool: newPool()}
}

// NewHPACKClient returns a client that compresses header fields. Its servers must use hop.Handler and hop.ConnContext.
func NewHPACKClient(dialTimeout time.Duration) *Client {
	c := NewClient(dialTimeout)
	c.compress = true
	return c
}

// Dials returns the number of attempts to open a connection.
func (c *Client) Dials() int64 { return c.dials.Load() }

// CloseIdle closes the idle connections to an address. It is called when the process at that address has gone.
func (c *Client) CloseIdle(addr string) { c.pool.closeIdle(addr) }

// Do sends a request and returns its response. If the context ends, the exchange is aborted and its connection is closed,
// which the server notices. Errors wrap ErrNotSent or ErrBroken, and the context's error if that was the cause.
func (c *Client) Do(ctx context.Context, addr string, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	connection, err := c.connect(ctx, addr, request)
	if err != nil {
		return nil, notSent(err)
	}
	e := &activeExchange{client: c, conn: connection, request: request}
	e.closeOnCancel(ctx)
	response, err := e.run()
	if err == nil {
		return response, nil
	}
	e.abort()
	if cause := ctx.Err(); cause != nil {
		err = errors.WithMessage(cause, err.Error())
	}
	if !e.sent {
		return nil, notSent(err)
	}
	return nil, broken(err)
}

// connect returns an idle connection to the address, or opens one.
func (c *Client) connect(ctx context.Context, addr string, request *Request) (*conn, error) {
	if !request.NewConn {
		if idle := c.pool.get(addr, request.FreshConn, time.Now()); idle != nil {
			return idle, nil
		}
	}
	c.dials.Add(1)
	netConn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	opened := newConn(netConn, addr)
	if c.compress {
		opened.codec = newHeaderCodec()
	}
	return opened, nil
}

// activeExchange is one exchange of a request and its response on a connection.
type activeExchange struct {
	client  *Client
	conn    *conn
	request *Request
	// sent is set once a byte of the request may have reached the network.
	sent bool
	// stopWatch stops watching the context. It returns false if the context has already ended.
	stopWatch func() bool
	// streamResult receives the error of sending a streamed body. It is nil for a buffered body.
	streamResult chan error
}

// closeOnCancel makes the connection close when the context ends.
func (e *activeExchange) closeOnCancel(ctx context.Context) {
	netConn := e.conn.netConn
	e.stopWatch = context.AfterFunc(ctx, func() { _ = netConn.Close() })
}

// run sends the request and reads the response.
func (e *activeExchange) run() (*Response, error) {
	n, err := e.conn.writer.Write(e.conn.encodeRequest(e.request))
	e.sent = n > 0
	if err != nil {
		return nil, err
	}
	if e.request.Stream != nil {
		pieceBytes := minPieceBytes
		if e.reserve(streamBufferSize) {
			pieceBytes = streamBufferSize
		}
		e.streamResult = make(chan error, 1)
		go func() { e.streamResult <- writeStream(e.conn.writer, e.request, pieceBytes) }()
	}
	response, err := e.conn.readResponse(e.request)
	if err != nil {
		return nil, err
	}
	return e.readBody(response)
}

// readBody reads the body of a response up to maxBufferedBody, or whole if it is to be held, as far as there is memory for it.
// What follows becomes Rest.
func (e *activeExchange) readBody(received *http.Response) (*Response, error) {
	response := &Response{Status: received.StatusCode, Header: received.Header, Length: received.ContentLength}
	if hasNoBody(e.request.Method, received.StatusCode) {
		e.complete(received)
		return response, nil
	}
	if received.ContentLength > longReadBuffer && e.reserve(longReadBuffer) {
		e.conn.widen()
	}
	start := bodyBuffer{limit: e.bufferLimit(received.ContentLength), reserve: e.request.Reserve}
	whole, err := start.fill(received.Body, received.ContentLength)
	if err != nil {
		return nil, err
	}
	response.Body = start.data
	if whole {
		response.Length = int64(len(start.data))
		e.complete(received)
		return response, nil
	}
	response.Rest = &restReader{exchange: e, response: received}
	response.PieceBytes = minPieceBytes
	if e.reserve(maxPieceBytes) {
		response.PieceBytes = maxPieceBytes
	}
	return response, nil
}

// reserve takes memory for what is buffered. It reports false if there is none.
func (e *activeExchange) reserve(bytes int64) bool {
	return e.request.Reserve == nil || e.request.Reserve(bytes) == nil
}

// bufferLimit returns the length up to which a body is buffered, by the length that the header tells.
func (e *activeExchange) bufferLimit(length int64) int64 {
	if length > maxBufferedBody && e.request.HoldBody != nil && e.request.HoldBody(length) {
		return length
	}
	return maxBufferedBody
}

// complete ends an exchange whose response was read completely. It returns the connection to the pool if it can be
// reused. A connection cannot be reused if the response came before the whole request body was sent.
func (e *activeExchange) complete(response *http.Response) {
	bodySent := e.streamResult == nil
	if !bodySent {
		select {
		case err := <-e.streamResult:
			bodySent = err == nil
		default:
		}
	}
	e.conn.narrow()
	now := time.Now()
	if e.stopWatch() && bodySent && e.conn.markIdle(response, now) {
		e.client.pool.put(e.conn, now)
		return
	}
	_ = e.conn.netConn.Close()
}

// abort ends a failed exchange and closes its connection.
func (e *activeExchange) abort() {
	e.stopWatch()
	_ = e.conn.netConn.Close()
}

// restReader reads the part of a response body that follows the buffered start.
type restReader struct {
	exchange *activeExchange
	response *http.Response
	ended    bool
}

// Read returns io.EOF only at the end of a complete response.
func (r *restReader) Read(buffer []byte) (int, error) {
	n, err := r.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) && !r.ended {
		r.ended = true
		r.exchange.complete(r.response)
	}
	return n, err
}

// Close aborts the exchange unless the response was read to its end.
func (r *restReader) Close() error {
	if !r.ended {
		r.ended = true
		r.exchange.abort()
	}
	return nil
}
