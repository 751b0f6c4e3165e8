package cli

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

const toolName = "samphireflow"

// Run runs the tool with the arguments that follow its name and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{options: defaultOptions(), stdout: stdout, stderr: stderr}
	flags := flag.NewFlagSet(toolName, flag.ContinueOnError)
	flags.SetOutput(stderr)
	if err := s.options.parse(flags, args); err != nil {
		return int(parseErrorStatus(s, err))
	}
	return int(execute(ctx, flags, toolName, commands(s), s))
}

// parseErrorStatus reports an error in the global flags and returns the exit code. A request for help is no error.
func parseErrorStatus(s *session, err error) subcommands.ExitStatus {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	return s.fail(usageError(err))
}

func commands(s *session) []subcommands.Command {
	return []subcommands.Command{
		showCommand(s), setCommand(s), unsetCommand(s), applyCommand(s), diffCommand(s), explainCommand(s),
		historyCommand(s), revertCommand(s),
		moveCommands(s), evacuationCommands(s),
		instancesCommand(s), servicesCommand(s), statusCommand(s),
		nodeCommands(s),
		controlMembersCommands(s), dataCommands(s), logsCommands(s),
	}
}
