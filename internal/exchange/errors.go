package exchange

import (
	"github.com/pkg/errors"
)

var (
	// ErrNotSent is wrapped by the error of an exchange of which no byte was sent; the request has not run and will not.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken is wrapped by the error of an exchange that was begun and brought no whole answer; the request may run.
	ErrBroken = errors.New("no whole answer came")
)

// fateError is a fate with its cause, so that errors.Is finds context errors and system errors too.
type fateError struct {
	fate  error
	cause error
}

func notSent(cause error) error { return &fateError{ErrNotSent, cause} }

func broken(cause error) error { return &fateError{ErrBroken, cause} }

// Error returns the fate and its cause.
func (e *fateError) Error() string { return e.fate.Error() + ": " + e.cause.Error() }

// Unwrap returns both, for errors.Is.
func (e *fateError) Unwrap() []error { return []error{e.fate, e.cause} }
