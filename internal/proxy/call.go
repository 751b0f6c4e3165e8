package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"samphireflow/internal/routing"
)

const (
	// maxBodyBytes is the largest body of a request.
	maxBodyBytes = 1 << 20
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 128
	// maxDepth is the number of calls above a call at which it is taken for a loop.
	maxDepth = 32
)

// call is one request of a caller, checked and ready to be sent.
type call struct {
	request  *http.Request
	route    *routing.Route
	service  *routing.Service
	state    *routeState
	key      string
	caller   string
	depth    int
	deadline time.Time
	body     []byte
	// reports are the reports of broken attempts that are on their way. A call that failed is answered after them, so
	// that its caller cannot send it again to a node that has not heard.
	reports sync.WaitGroup
}

// readCall checks a request. It returns the refusal that answers a request that cannot be served.
func readCall(r *http.Request, table *routing.Table, now time.Time) (*call, *refusal) {
	route := table.Match(r.Method, r.URL.Path)
	if route == nil {
		return nil, notRun(http.StatusNotFound, "no route matches "+r.Method+" "+r.URL.Path)
	}
	c := &call{request: r, route: route, service: table.Service(route.Config.Service)}
	if bad := c.readHeader(now, route.Settings.CallTimeout); bad != nil {
		return nil, bad
	}
	body, bad := readBody(r)
	c.body = body
	return c, bad
}

// readHeader reads the headers that the system acts on.
func (c *call) readHeader(now time.Time, timeout time.Duration) *refusal {
	if bad := c.readKey(); bad != nil {
		return bad
	}
	if bad := c.readDepth(); bad != nil {
		return bad
	}
	c.caller = callerOf(c.request)
	return c.readDeadline(now, timeout)
}

func (c *call) readKey() *refusal {
	c.key = c.request.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return notRun(http.StatusBadRequest, HeaderIdempotencyKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	for _, b := range []byte(c.key) {
		if b <= ' ' || b > '~' {
			return notRun(http.StatusBadRequest, HeaderIdempotencyKey+" holds a byte that is not printable ASCII")
		}
	}
	return nil
}

func (c *call) readDepth() *refusal {
	text := c.request.Header.Get(HeaderDepth)
	if text == "" {
		return nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return notRun(http.StatusBadRequest, HeaderDepth+" is not a number of calls")
	}
	if depth >= maxDepth {
		return notRun(http.StatusLoopDetected, "more than "+strconv.Itoa(maxDepth)+" calls deep")
	}
	c.depth = depth
	return nil
}

func (c *call) readDeadline(now time.Time, timeout time.Duration) *refusal {
	c.deadline = now.Add(timeout)
	text := c.request.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return notRun(http.StatusBadRequest, HeaderDeadline+" is not a time in Unix milliseconds")
	}
	if deadline := time.UnixMilli(ms); deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	if !c.deadline.After(now) {
		return notRun(http.StatusGatewayTimeout, "the deadline has passed")
	}
	return nil
}

// callerOf names the caller for fair shares.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody reads the whole body, so that a request that is cut short is never sent on.
func readBody(r *http.Request) ([]byte, *refusal) {
	if r.ContentLength > maxBodyBytes {
		return nil, notRun(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readWhole(r.Body, r.ContentLength, maxBodyBytes)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "the body could not be read whole")
	}
	if len(body) > maxBodyBytes {
		return nil, notRun(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	return body, nil
}

// readWhole reads to the end or one byte beyond the limit. A known length saves growing the buffer.
func readWhole(from io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 && length <= limit {
		body := make([]byte, length)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(from, limit+1))
}
