package exchange

import (
	"net/http"

	"github.com/pkg/errors"
)

// The status codes that RFC 9110, section 15, defines a meaning for, by their class.
const (
	minStatus = 100
	maxStatus = 599
)

// ErrInvalidStatusLine means that a server sent a status line that is none of HTTP/1. What follows it is no response.
var ErrInvalidStatusLine = errors.New("the status line of the answer is not valid")

// CheckStatusLine returns an error that wraps ErrInvalidStatusLine if the status line of a response is not allowed by RFC 9110,
// section 15, or RFC 9112, section 4. The response 101 is not allowed, because no request asks for another protocol.
func CheckStatusLine(response *http.Response) error {
	code := response.StatusCode
	if response.ProtoMajor != 1 || code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols || !startsWithDigit(response.Status) {
		return errors.Wrapf(ErrInvalidStatusLine, "%s %.20q", response.Proto, response.Status)
	}
	return nil
}

// startsWithDigit reports whether a status begins with a digit. The reader of net/http also takes a sign for one.
func startsWithDigit(status string) bool {
	return status != "" && status[0] >= '0' && status[0] <= '9'
}
