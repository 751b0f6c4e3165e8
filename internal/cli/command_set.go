package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// commandSet is a command that has commands beneath it, for example "move".
type commandSet struct {
	name     string
	synopsis string
	commands []subcommands.Command
	session  *session
}

// Name returns the word that calls the set.
func (c *commandSet) Name() string { return c.name }

// Synopsis describes the set in one line.
func (c *commandSet) Synopsis() string { return c.synopsis }

// Usage describes the commands of the set.
func (c *commandSet) Usage() string {
	text := fmt.Sprintf("%s COMMAND:\n", c.name)
	for _, command := range c.commands {
		text += "  " + command.Usage()
	}
	return text
}

// SetFlags defines the flags of the tool once more.
func (c *commandSet) SetFlags(flags *flag.FlagSet) {
	c.session.options.register(flags)
}

// Execute runs the command that the next argument names.
func (c *commandSet) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return execute(ctx, flags, c.name, c.commands, c.session)
}

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
