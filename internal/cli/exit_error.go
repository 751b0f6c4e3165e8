package cli

import "github.com/google/subcommands"

// exitError is an error with the exit code of the tool.
type exitError struct {
	status subcommands.ExitStatus
	cause  error
	// quiet is set if nothing is to be printed for the error.
	quiet bool
}

// Error returns the text of the cause, or a general text if there is no cause.
func (e *exitError) Error() string {
	if e.cause == nil {
		return "failed"
	}
	return e.cause.Error()
}

// Unwrap returns the cause, or nil if there is none.
func (e *exitError) Unwrap() error {
	return e.cause
}

func usageError(cause error) error {
	return &exitError{status: ExitUsage, cause: cause}
}

// quietExit returns an error that has only an exit code, or nil for ExitOK.
func quietExit(status subcommands.ExitStatus) error {
	if status == ExitOK {
		return nil
	}
	return &exitError{status: status, quiet: true}
}
