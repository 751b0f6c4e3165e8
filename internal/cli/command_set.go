package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// commandSet is a command that has subcommands, for example "move".
type commandSet struct {
	name     string
	synopsis string
	commands []subcommands.Command
	session  *session
}

// Name returns the name of the set on the command line.
func (c *commandSet) Name() string { return c.name }

// Synopsis describes the set in one line.
func (c *commandSet) Synopsis() string { return c.synopsis }

// Usage describes the subcommands of the set.
func (c *commandSet) Usage() string {
	text := fmt.Sprintf("%s COMMAND:\n", c.name)
	for _, command := range c.commands {
		text += "  " + command.Usage()
	}
	return text
}

// SetFlags defines the global flags, so that they may also follow the name of the set.
func (c *commandSet) SetFlags(flags *flag.FlagSet) {
	c.session.options.register(flags)
}

// Execute runs the subcommand that the next argument names.
func (c *commandSet) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return execute(ctx, flags, c.name, c.commands, c.session)
}

// execute runs the command that the first argument names and returns its exit code.
func execute(ctx context.Context, flags *flag.FlagSet, name string, commands []subcommands.Command, s *session) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = s.stdout
	commander.Error = s.stderr
	commander.Register(commander.HelpCommand(), "")
	for _, command := range commands {
		commander.Register(command, "")
	}
	return commander.Execute(ctx)
}
