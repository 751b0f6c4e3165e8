package exchange

import (
	"github.com/pkg/errors"
)

var (
	// ErrNotSent is wrapped by the error of an exchange if no byte of the request was sent. The request has not run and
	// will not run.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken is wrapped by the error of an exchange if bytes of the request were sent, but no complete response was
	// received. The request may have run or may still run.
	ErrBroken = errors.New("no whole answer came")
)

// outcomeError joins the outcome of an exchange, ErrNotSent or ErrBroken, with its cause. errors.Is finds both, also
// context errors and system errors.
type outcomeError struct {
	outcome error
	cause   error
}

func notSent(cause error) error { return &outcomeError{ErrNotSent, cause} }

func broken(cause error) error { return &outcomeError{ErrBroken, cause} }

// Error returns the outcome and its cause.
func (e *outcomeError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap returns the outcome and its cause for errors.Is.
func (e *outcomeError) Unwrap() []error { return []error{e.outcome, e.cause} }
