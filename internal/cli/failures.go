package cli

import (
	"context"
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

var (
	// errUnreachable is returned if no instance responded and nothing was changed, because no request was sent or all
	// requests were reads.
	errUnreachable = errors.New("no instance responded; nothing was changed")
	// errResponseLost is returned if a request may have been sent and no response arrived.
	errResponseLost = errors.New("the response was lost; it is not known whether the request took effect")
	// errRefused is returned if an instance responded with an error that a retry would meet again.
	errRefused = errors.New("refused")
)

// failures collects the failed attempts of one call.
type failures struct {
	responseLost bool
	// failedAddresses lists the instances with failed attempts in the order of their first failure.
	failedAddresses []string
	// lastError is the text of the last error of each instance by address.
	lastError map[string]string
}

// add records a failed attempt. It returns an error if a retry is useless.
func (f *failures) add(address string, err error) error {
	if refusal := permanentError(err); refusal != nil {
		return errors.Wrapf(errRefused, "%s at %s", refusal.Msg(), address)
	}
	if !notSent(err) {
		f.responseLost = true
	}
	if f.lastError == nil {
		f.lastError = map[string]string{}
	}
	_, known := f.lastError[address]
	if known && errors.Is(err, context.DeadlineExceeded) {
		// The expiry of the tool's own timeout says less than the earlier error of the instance, which is kept.
		return nil
	}
	if !known {
		f.failedAddresses = append(f.failedAddresses, address)
	}
	f.lastError[address] = err.Error()
	return nil
}

// error returns an error that lists the failure of each instance.
func (f *failures) error() error {
	var list []string
	for _, address := range f.failedAddresses {
		list = append(list, address+": "+f.lastError[address])
	}
	detail := strings.Join(list, "; ")
	if f.responseLost {
		return errors.Wrap(errResponseLost, detail)
	}
	return errors.Wrap(errUnreachable, detail)
}

// permanentError returns the error response of an instance for which a retry is useless, or nil for any other error.
func permanentError(err error) twirp.Error {
	var response twirp.Error
	if !errors.As(err, &response) {
		return nil
	}
	switch response.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists, twirp.PermissionDenied, twirp.OutOfRange,
		twirp.Unimplemented, twirp.BadRoute, twirp.Malformed, twirp.FailedPrecondition:
		return response
	}
	return nil
}

// notSent reports whether an attempt failed to connect, so that the request was not sent.
func notSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op == "dial"
	}
	return false
}
