package cli

import "github.com/google/subcommands"

// exitError is an error with the exit code that the tool ends with.
type exitError struct {
	status subcommands.ExitStatus
	cause  error
	// quiet says that everything was printed before.
	quiet bool
}

// Error returns the text of the cause.
func (e *exitError) Error() string {
	if e.cause == nil {
		return "failed"
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

func usageError(cause error) error {
	return &exitError{status: ExitUsage, cause: cause}
}

// ended returns an error that carries an exit code only.
func ended(status subcommands.ExitStatus) error {
	if status == ExitOK {
		return nil
	}
	return &exitError{status: status, quiet: true}
}
