package cli

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// session is what a command works with: the options, the control group and the outputs.
type session struct {
	options *options
	stdout  io.Writer
	stderr  io.Writer
}

// group returns the control group, or a usage error.
func (s *session) group() (*group, error) {
	addresses, err := s.options.addresses()
	if err != nil {
		return nil, usageError(err)
	}
	return newGroup(addresses, s.options.Timeout), nil
}

func (s *session) printer() *printer {
	return &printer{out: s.stdout, format: s.options.Output}
}

// fail prints an error and returns the exit code for it.
func (s *session) fail(err error) subcommands.ExitStatus {
	var exit *exitError
	if errors.As(err, &exit) && exit.quiet {
		return exit.status
	}
	fmt.Fprintln(s.stderr, "samphireflow:", err)
	switch {
	case exit != nil:
		return exit.status
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.Is(err, errAnswerLost):
		return ExitUnknown
	}
	return ExitRefused
}
