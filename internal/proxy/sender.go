package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireflow/internal/exchange"
)

// addedHeaders is the maximum number of headers that a node adds to a request.
const addedHeaders = 5

// errUnknownLength means that the end of the response cannot be told from a broken connection.
var errUnknownLength = errors.New("response has neither a length nor chunks")

// errNotSent matches a failure before any byte of the request was sent.
var errNotSent = errors.New("request was not sent")

// notSentError wraps the cause of a failure before any byte of the request was sent.
type notSentError struct {
	cause error
}

func (e *notSentError) Error() string {
	return errNotSent.Error() + ": " + e.cause.Error()
}

// Is makes the error match errNotSent.
func (e *notSentError) Is(target error) bool {
	return target == errNotSent
}

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error {
	return e.cause
}

// destination is the server that an attempt is sent to: a backend server or a gate.
type destination struct {
	transport http.RoundTripper
	addr      string
	// pathPrefix, target and grant are set if the server is a gate; target is the backend server that it forwards to.
	pathPrefix string
	target     string
	grant      *grantRequest
}

// sender makes and sends the requests of attempts.
type sender struct {
	// callIDPrefix and sequence form the unique value of HeaderCall.
	callIDPrefix string
	sequence     atomic.Uint64
	// memory holds the bodies of the long responses that were read and not forwarded yet.
	memory responseMemory
}

func newSender(instance string) *sender {
	return &sender{callIDPrefix: instance + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
}

// maxRetired is the number of connections in a row that an attempt may get although they must not be used.
const maxRetired = 8

// roundTrip sends one request and reads the whole response. The body is held in the call's reservation, which the caller
// releases. An error that matches errNotSent proves that no byte of the request was sent.
func (s *sender) roundTrip(ctx context.Context, c *call, to *destination) (response *bufferedResponse, err error) {
	for range maxRetired {
		retired := false
		if response, retired, err = s.exchange(ctx, c, to); !retired {
			break
		}
	}
	return response, err
}

// exchange is one try of roundTrip. It reports whether it got a connection that must not be used, so that nothing was sent.
func (s *sender) exchange(ctx context.Context, c *call, to *destination) (got *bufferedResponse, retired bool, err error) {
	tracker := newSendTracker()
	refused := false
	defer func() { tracker.end(refused) }()
	request := s.newRequest(httptrace.WithClientTrace(ctx, &tracker.trace), c, to)
	response, err := to.transport.RoundTrip(request)
	if err != nil {
		if tracker.nothingSent() {
			return nil, tracker.retired, &notSentError{cause: err}
		}
		return nil, false, errors.Wrap(err, "round trip")
	}
	if err := exchange.CheckStatusLine(response); err != nil {
		_ = response.Body.Close()
		if tracker.conn != nil {
			// Nothing that follows on the connection can be trusted.
			_ = tracker.conn.Close()
		}
		return nil, false, err
	}
	c.memory.release()
	c.memory = &reservation{memory: &s.memory}
	got, err = readResponse(request, response, c.memory)
	if err != nil {
		return nil, false, err
	}
	got.latency = time.Since(tracker.connectedAt)
	// A gate is a node, which writes each response once.
	refused = to.target == "" && got.header.Get(HeaderShed) != "" && got.header.Get(HeaderCall) == ""
	return got, false, nil
}

// readResponse reads a whole response into reserved memory. It returns an error if the response may be truncated or belong to
// another request.
func readResponse(request *http.Request, response *http.Response, memory *reservation) (*bufferedResponse, error) {
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderCall); id != "" && id != request.Header.Get(HeaderCall) {
		return nil, errors.New("response belongs to another request")
	}
	if request.Method == http.MethodHead {
		return &bufferedResponse{status: response.StatusCode, header: response.Header}, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errUnknownLength
	}
	body, err := memory.readBody(response.Body, response.ContentLength, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if err := expectEnd(response); err != nil {
		return nil, err
	}
	return &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// expectEnd checks that the body ends here. Reading its end also lets the transport reuse the connection.
func expectEnd(response *http.Response) error {
	var more [1]byte
	n, err := response.Body.Read(more[:])
	if n == 0 && err == io.EOF {
		return nil
	}
	return errors.New("response body does not end at its declared length")
}

// newRequest returns the request of one attempt.
func (s *sender) newRequest(ctx context.Context, c *call, to *destination) *http.Request {
	request := (&http.Request{
		Method:     c.request.Method,
		URL:        targetURL(c.request.URL, to.addr, to.pathPrefix),
		Host:       c.request.Host,
		Header:     s.newHeader(c, to),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	setBody(request, c.body)
	return request
}

func targetURL(from *url.URL, addr, prefix string) *url.URL {
	target := *from
	target.Scheme = "http"
	target.Host = addr
	if prefix == "" {
		return &target
	}
	target.Path = prefix + from.Path
	if from.RawPath != "" {
		target.RawPath = prefix + from.RawPath
	}
	return &target
}

func (s *sender) newHeader(c *call, to *destination) http.Header {
	header := make(http.Header, len(c.request.Header)+addedHeaders)
	copyHeader(header, c.request.Header)
	for _, name := range [...]string{headerGrant, headerTarget, "Expect"} {
		delete(header, name)
	}
	header.Set(HeaderDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	header.Set(HeaderDepth, strconv.Itoa(c.depth+1))
	header.Set(HeaderCall, s.callIDPrefix+strconv.FormatUint(s.sequence.Add(1), 36))
	if to.target != "" {
		header.Set(headerTarget, to.target)
	}
	if to.grant != nil {
		to.grant.setHeader(header)
	}
	return header
}
