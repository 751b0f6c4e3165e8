package exchange

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// heldBody is the longest body of an answer that is held; of a longer one the rest is passed on as it comes.
const heldBody = 256 << 10

// Client makes exchanges over kept connections. It is safe for use by many goroutines.
type Client struct {
	dial   dialFunc
	pool   *pool
	opened atomic.Int64
	// packs says that header fields are packed.
	packs bool
}

// NewClient returns a client that gives up opening a connection after a time.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{dial: newDialer(dialTimeout), pool: newPool()}
}

// NewHPACKClient returns a client for servers that unpack header fields as package hop does.
func NewHPACKClient(dialTimeout time.Duration) *Client {
	c := NewClient(dialTimeout)
	c.packs = true
	return c
}

// Dials returns the number of connections that were opened.
func (c *Client) Dials() int64 { return c.opened.Load() }

// CloseIdle closes the idle connections to an address, after its owner was seen to be gone.
func (c *Client) CloseIdle(addr string) { c.pool.drop(addr) }

// Do sends a request and returns its answer. The end of the context breaks the exchange off and closes its connection,
// so that the other side notices. Errors wrap ErrNotSent or ErrBroken, and the context's error if that was the cause.
func (c *Client) Do(ctx context.Context, addr string, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(err)
	}
	used, err := c.connect(ctx, addr, request.FreshConn)
	if err != nil {
		return nil, notSent(err)
	}
	e := &exchanging{client: c, conn: used, request: request}
	e.watch(ctx)
	response, err := e.run()
	if err == nil {
		return response, nil
	}
	e.abandon()
	if cause := ctx.Err(); cause != nil {
		err = errors.WithMessage(cause, err.Error())
	}
	if !e.sent {
		return nil, notSent(err)
	}
	return nil, broken(err)
}

func (c *Client) connect(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if kept := c.pool.get(addr, fresh, time.Now()); kept != nil {
		return kept, nil
	}
	c.opened.Add(1)
	opened, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	used := newConn(opened, addr)
	if c.packs {
		used.packing = newPacking()
	}
	return used, nil
}

// exchanging is one exchange on its connection.
type exchanging struct {
	client  *Client
	conn    *conn
	request *Request
	// sent is set once a byte may have reached the network.
	sent bool
	// stop ends the watch of the context and reports whether it had not ended by then.
	stop func() bool
	// streamed gets the result of the writing of a streamed body; nil for a held one.
	streamed chan error
}

// watch closes the connection when the context ends.
func (e *exchanging) watch(ctx context.Context) {
	inner := e.conn.net
	e.stop = context.AfterFunc(ctx, func() { _ = inner.Close() })
}

func (e *exchanging) run() (*Response, error) {
	n, err := e.conn.net.Write(e.conn.head(e.request))
	e.sent = n > 0
	if err != nil {
		return nil, err
	}
	if e.request.Stream != nil {
		e.streamed = make(chan error, 1)
		go func() { e.streamed <- writeStream(e.conn.net, e.request) }()
	}
	answer, err := e.conn.readAnswer(e.request)
	if err != nil {
		return nil, err
	}
	return e.take(answer)
}

// take reads the body of an answer, or its beginning.
func (e *exchanging) take(answer *http.Response) (*Response, error) {
	response := &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength}
	if hasNoBody(e.request.Method, answer.StatusCode) {
		e.finish(answer)
		return response, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, heldBody+1))
	if err != nil {
		return nil, err
	}
	response.Body = body
	if len(body) <= heldBody {
		response.Length = int64(len(body))
		e.finish(answer)
		return response, nil
	}
	response.Rest = &rest{exchanging: e, answer: answer}
	return response, nil
}

// finish ends a whole exchange and keeps the connection if it can be used again. A request whose body was answered
// before it was sent whole leaves its connection unusable.
func (e *exchanging) finish(answer *http.Response) {
	whole := e.streamed == nil
	if !whole {
		select {
		case err := <-e.streamed:
			whole = err == nil
		default:
		}
	}
	now := time.Now()
	if e.stop() && whole && e.conn.keep(answer, now) {
		e.client.pool.put(e.conn, now)
		return
	}
	_ = e.conn.net.Close()
}

// abandon ends a failed exchange.
func (e *exchanging) abandon() {
	e.stop()
	_ = e.conn.net.Close()
}

// rest reads what follows the held beginning of an answer.
type rest struct {
	exchanging *exchanging
	answer     *http.Response
	ended      bool
}

// Read returns io.EOF only at the true end of the answer.
func (r *rest) Read(buffer []byte) (int, error) {
	n, err := r.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) && !r.ended {
		r.ended = true
		r.exchanging.finish(r.answer)
	}
	return n, err
}

// Close breaks the exchange off unless the answer was read whole.
func (r *rest) Close() error {
	if !r.ended {
		r.ended = true
		r.exchanging.abandon()
	}
	return nil
}
