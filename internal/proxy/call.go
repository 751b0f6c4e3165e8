package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"samphireflow/internal/routing"
)

const (
	// maxBodyBytes is the largest body of a request.
	maxBodyBytes = 1 << 20
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 128
)

// call is one request of a caller, checked and ready to be sent.
type call struct {
	request  *http.Request
	route    *routing.Route
	service  *routing.Service
	key      string
	deadline time.Time
	body     []byte
}

// readCall checks a request. It returns the refusal that answers a request that cannot be served.
func readCall(r *http.Request, table *routing.Table, now time.Time) (*call, *refusal) {
	route := table.Match(r.Method, r.URL.Path)
	if route == nil {
		return nil, notRun(http.StatusNotFound, "no route matches "+r.Method+" "+r.URL.Path)
	}
	c := &call{request: r, route: route, service: table.Service(route.Config.Service)}
	if bad := c.readKey(); bad != nil {
		return nil, bad
	}
	if bad := c.readDeadline(now); bad != nil {
		return nil, bad
	}
	return c, c.readBody()
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

func (c *call) readDeadline(now time.Time) *refusal {
	c.deadline = now.Add(c.route.Settings.CallTimeout)
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

func (c *call) readBody() *refusal {
	if c.request.ContentLength > maxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if c.request.Body == nil || c.request.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.request.Body, maxBodyBytes+1))
	if err != nil {
		return notRun(http.StatusBadRequest, "the body could not be read whole")
	}
	if len(body) > maxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	c.body = body
	return nil
}
