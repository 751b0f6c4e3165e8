package cli

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// session holds the options and outputs that the commands of one run share.
type session struct {
	options *options
	stdout  io.Writer
	stderr  io.Writer
}

// client returns a client of the control group. It fails with a usage error if the addresses are missing or invalid.
func (s *session) client() (*client, error) {
	addresses, err := s.options.addresses()
	if err != nil {
		return nil, usageError(err)
	}
	return newClient(addresses, s.options.Timeout), nil
}

func (s *session) printer() *printer {
	return &printer{out: s.stdout, format: s.options.Output}
}

// fail prints an error, unless it is a quiet one, and returns its exit code.
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
	case errors.Is(err, errResponseLost):
		return ExitUnknown
	}
	return ExitRefused
}
