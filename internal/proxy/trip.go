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
)

// nodeHeaders is the number of headers that a node adds to a request.
const nodeHeaders = 5

// errNoLength means that the end of an answer cannot be told from a connection that was cut.
var errNoLength = errors.New("the answer does not say how long it is")

// errNotSent marks a failure before any byte of the request was sent.
var errNotSent = errors.New("the request was not sent")

// notSentError keeps the cause of a failure before any byte was sent.
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

// trip says where one attempt goes.
type trip struct {
	transport http.RoundTripper
	addr      string
	// prefix, target and ask are set on the way to a gate.
	prefix string
	target string
	ask    *grantAsk
}

// sender makes the requests of attempts.
type sender struct {
	// prefix and number make the headers that tell attempts apart.
	prefix string
	number atomic.Uint64
}

func newSender(instance string) *sender {
	return &sender{prefix: instance + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
}

// roundTrip sends one request and reads the whole answer. An error that matches errNotSent proves that no byte was sent.
func (s *sender) roundTrip(ctx context.Context, c *call, t *trip) (*answer, error) {
	sending := newSending()
	request := s.outgoing(httptrace.WithClientTrace(ctx, &sending.trace), c, t)
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		if sending.nothingSent() {
			return nil, &notSentError{cause: err}
		}
		return nil, errors.Wrap(err, "round trip")
	}
	got, err := readAnswer(request, response)
	if err == nil {
		got.took = time.Since(sending.at)
	}
	return got, err
}

// readAnswer reads a whole answer and refuses one that may be cut short or belong to another request.
func readAnswer(request *http.Request, response *http.Response) (*answer, error) {
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(HeaderCall); id != "" && id != request.Header.Get(HeaderCall) {
		return nil, errors.New("the answer belongs to another request")
	}
	if request.Method == http.MethodHead {
		return &answer{status: response.StatusCode, header: response.Header}, nil
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	body, err := readWhole(response.Body, response.ContentLength, maxAnswerBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.New("the answer is too long")
	}
	if err := readEnd(response); err != nil {
		return nil, err
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// readEnd reads to the end of a body of known length, so that its connection is used again.
func readEnd(response *http.Response) error {
	var more [1]byte
	n, err := response.Body.Read(more[:])
	if n == 0 && err == io.EOF {
		return nil
	}
	return errors.New("the answer does not end where it should")
}

// outgoing makes the request of one attempt.
func (s *sender) outgoing(ctx context.Context, c *call, t *trip) *http.Request {
	request := (&http.Request{
		Method:     c.request.Method,
		URL:        targetURL(c.request.URL, t.addr, t.prefix),
		Host:       c.request.Host,
		Header:     s.header(c, t),
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

func (s *sender) header(c *call, t *trip) http.Header {
	header := make(http.Header, len(c.request.Header)+nodeHeaders)
	copyHeader(header, c.request.Header)
	for _, name := range [...]string{headerGrant, headerTarget, "Expect"} {
		delete(header, name)
	}
	header.Set(HeaderDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	header.Set(HeaderDepth, strconv.Itoa(c.depth+1))
	header.Set(HeaderCall, s.prefix+strconv.FormatUint(s.number.Add(1), 36))
	if t.target != "" {
		header.Set(headerTarget, t.target)
	}
	if t.ask != nil {
		t.ask.set(header)
	}
	return header
}
