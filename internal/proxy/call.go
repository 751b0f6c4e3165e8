package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"samphireflow/internal/routing"
	"samphireflow/internal/suspect"
)

const (
	// maxBodyBytes is the length of the longest request body.
	maxBodyBytes = 1 << 20
	// maxKeyBytes is the length of the longest idempotency key, and of the longest instance name in a grant request.
	maxKeyBytes = 128
	// maxCallerBytes is the length of the longest name of a caller.
	maxCallerBytes = 128
	// maxDepth is the call depth from which a call is refused, because calls of this depth indicate a loop.
	maxDepth = 32
)

// call is one validated request of a caller.
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
	// suspect is the request as Suspects sees it.
	suspect *suspect.Request
	// memory is the reservation for the body of the newest response.
	memory *reservation
	// broken is the number of attempts that broke off.
	broken int
	// pendingReports waits for the reports of broken attempts to other nodes. A failed call is answered after them, so
	// that its caller cannot send the request again to a node that does not know yet that the request is suspect.
	pendingReports sync.WaitGroup
}

// readCall validates a request. It returns a refusal if the request cannot be served.
func readCall(r *http.Request, table *routing.Table, now time.Time) (*call, *refusal) {
	route := table.Match(r.Method, r.URL.Path)
	if route == nil {
		return nil, notRunRefusal(http.StatusNotFound, "no route matches "+r.Method+" "+r.URL.Path)
	}
	c := &call{request: r, route: route, service: table.Service(route.Config.Service)}
	if refused := c.readHeader(now, route.Settings.CallTimeout); refused != nil {
		return nil, refused
	}
	body, refused := readBody(r)
	c.body = body
	return c, refused
}

// readHeader reads the headers that the proxy itself uses.
func (c *call) readHeader(now time.Time, timeout time.Duration) *refusal {
	if refused := c.readKey(); refused != nil {
		return refused
	}
	if refused := c.readDepth(); refused != nil {
		return refused
	}
	c.caller = callerName(c.request)
	return c.readDeadline(now, timeout)
}

func (c *call) readKey() *refusal {
	c.key = c.request.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return notRunRefusal(http.StatusBadRequest, HeaderIdempotencyKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	for _, b := range []byte(c.key) {
		if b <= ' ' || b > '~' {
			return notRunRefusal(http.StatusBadRequest, HeaderIdempotencyKey+" holds a byte that is not printable ASCII")
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
		return notRunRefusal(http.StatusBadRequest, HeaderDepth+" is not a number of calls")
	}
	if depth >= maxDepth {
		return notRunRefusal(http.StatusLoopDetected, "more than "+strconv.Itoa(maxDepth)+" calls deep")
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
		return notRunRefusal(http.StatusBadRequest, HeaderDeadline+" is not a time in Unix milliseconds")
	}
	if deadline := time.UnixMilli(ms); deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	if !c.deadline.After(now) {
		return notRunRefusal(http.StatusGatewayTimeout, "the deadline has passed")
	}
	return nil
}

// callerName returns the name of the caller, by which its share of queues is counted and its requests are told from those of
// others. A name that is too long is ignored.
func callerName(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" && len(name) <= maxCallerBytes {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody reads the whole body, so that a truncated request is never forwarded.
func readBody(r *http.Request) ([]byte, *refusal) {
	if r.ContentLength > maxBodyBytes {
		return nil, notRunRefusal(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBounded(r.Body, r.ContentLength, maxBodyBytes)
	if err != nil {
		return nil, notRunRefusal(http.StatusBadRequest, "the body could not be read whole")
	}
	if len(body) > maxBodyBytes {
		return nil, notRunRefusal(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	return body, nil
}

// readBounded reads to the end or one byte beyond the limit, whichever comes first. If the length is known (not negative)
// and within the limit, exactly that many bytes are read into a buffer of that size.
func readBounded(from io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 && length <= limit {
		body := make([]byte, length)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(from, limit+1))
}
