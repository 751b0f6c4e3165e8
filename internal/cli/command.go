package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// command is one command of the tool. Its flags may stand before, between and after its positional arguments.
type command struct {
	name string
	// args describes the positional arguments, for example "PATH KEY=VALUE...".
	args     string
	synopsis string
	// minArgs and maxArgs bound the number of positional arguments. A negative maxArgs means that there is no upper bound.
	minArgs, maxArgs int
	flags            func(*flag.FlagSet)
	run              func(ctx context.Context, s *session, args []string) error
	session          *session
}

// Name returns the name of the command on the command line.
func (c *command) Name() string { return c.name }

// Synopsis describes the command in one line.
func (c *command) Synopsis() string { return c.synopsis }

// Usage describes the command and its arguments.
func (c *command) Usage() string {
	return fmt.Sprintf("%s %s:\n  %s\n", c.name, c.args, c.synopsis)
}

// SetFlags defines the flags of the command, and the global flags so that they may also follow the name of the command.
func (c *command) SetFlags(flags *flag.FlagSet) {
	c.session.options.register(flags)
	if c.flags != nil {
		c.flags(flags)
	}
}

// Execute runs the command and returns its exit code.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parsePositional(flags)
	if err != nil {
		return ExitUsage
	}
	if err := c.checkArgs(args); err != nil {
		return c.session.fail(usageError(err))
	}
	if err := c.session.options.validate(); err != nil {
		return c.session.fail(usageError(err))
	}
	if err := c.run(ctx, c.session, args); err != nil {
		return c.session.fail(err)
	}
	return ExitOK
}

func (c *command) checkArgs(args []string) error {
	tooMany := c.maxArgs >= 0 && len(args) > c.maxArgs
	if len(args) < c.minArgs || tooMany {
		return errors.Errorf("usage: %s", strings.TrimSpace(c.name+" "+c.args))
	}
	return nil
}

// parsePositional returns the positional arguments and parses the flags that stand between and after them.
func parsePositional(flags *flag.FlagSet) ([]string, error) {
	var list []string
	rest := flags.Args()
	for len(rest) > 0 {
		if !strings.HasPrefix(rest[0], "-") || rest[0] == "-" {
			list = append(list, rest[0])
			rest = rest[1:]
			continue
		}
		if err := flags.Parse(rest); err != nil {
			return nil, err
		}
		rest = flags.Args()
	}
	return list, nil
}
