package cli

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireflow/internal/logs/story"
)

// logsCommands returns the commands that read log files, of one or several processes. They contact no process.
func logsCommands(s *session) *commandSet {
	var instance string
	return &commandSet{
		name: "logs", synopsis: "read the logs of several processes in one order", session: s,
		commands: []subcommands.Command{
			&command{
				name: "request", args: "ID FILE...", minArgs: 2, maxArgs: -1, session: s,
				synopsis: "print all that was logged of one request",
				run: func(_ context.Context, s *session, args []string) error {
					return printLogLines(s, args[1:], func(log *story.Log) []story.Line { return log.Request(args[0]) })
				},
			},
			&command{
				name: "beliefs", args: "FILE...", minArgs: 1, maxArgs: -1, session: s,
				synopsis: "print when processes began to believe something else: configuration, leader, members, moves",
				flags: func(flags *flag.FlagSet) {
					flags.StringVar(&instance, "instance", "", "only those of this instance")
				},
				run: func(_ context.Context, s *session, args []string) error {
					return printLogLines(s, args, func(log *story.Log) []story.Line { return log.StateChanges(instance) })
				},
			},
		},
	}
}

// printLogLines prints the selected lines of log files unchanged. It fails if no line is selected, so that a script can
// detect this by the exit code.
func printLogLines(s *session, files []string, selectLines func(*story.Log) []story.Line) error {
	log := &story.Log{}
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return usageError(err)
		}
	}
	lines := selectLines(log)
	if len(lines) == 0 {
		return &exitError{status: ExitRefused, cause: errors.Errorf("no such line in %d files (%d lines without a message were skipped)", len(files), log.Skipped)}
	}
	for _, line := range lines {
		if err := s.printer().line(line.Raw); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log *story.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	defer file.Close()
	return errors.Wrap(log.Read(file), name)
}
