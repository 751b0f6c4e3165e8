package backendserver

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxBodySize bounds the body of a call, in bytes.
const maxBodySize = 4 << 20

// call is one received call, including its body.
type call struct {
	method   string
	path     string
	key      string
	header   http.Header
	body     []byte
	deadline time.Time
}

// readCall reads a call with its complete body. Without a deadline header, the deadline is the zero time.
func readCall(request *http.Request) (*call, error) {
	deadline, err := parseDeadline(request.Header.Get(HeaderDeadline))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodySize+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	if len(body) > maxBodySize {
		return nil, errors.Errorf("the body has more than %d bytes", maxBodySize)
	}
	return &call{
		method:   request.Method,
		path:     request.URL.Path,
		key:      request.Header.Get(HeaderKey),
		header:   request.Header,
		body:     body,
		deadline: deadline,
	}, nil
}

func parseDeadline(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, errors.Errorf("%s: %q is not a time in Unix milliseconds", HeaderDeadline, text)
	}
	return time.UnixMilli(ms), nil
}

// expired reports whether the deadline has passed.
func (c *call) expired(now time.Time) bool {
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// readOnly reports whether the method of the call only reads.
func (c *call) readOnly() bool {
	return c.method == http.MethodGet || c.method == http.MethodHead
}

// bodyDigest returns the SHA-256 of the body in hexadecimal.
func (c *call) bodyDigest() string {
	sum := sha256.Sum256(c.body)
	return hex.EncodeToString(sum[:])
}
