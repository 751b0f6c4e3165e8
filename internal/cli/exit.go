package cli

import "github.com/google/subcommands"

// The exit codes of the tool.
const (
	// ExitOK means that the command succeeded.
	ExitOK subcommands.ExitStatus = 0
	// ExitRefused means that the request was refused, or that the command failed without any effect.
	ExitRefused subcommands.ExitStatus = 1
	// ExitUsage means that the command line or the document is invalid. Nothing was sent.
	ExitUsage subcommands.ExitStatus = 2
	// ExitUnknown means that a request was sent and its outcome is unknown. Send it again with the same ID.
	ExitUnknown subcommands.ExitStatus = 3
	// ExitUnreachable means that no control instance or node responded. Nothing was changed.
	ExitUnreachable subcommands.ExitStatus = 4
	// ExitConflict means that the request conflicts with the current state, for example because a branch has changed
	// since it was read. Nothing was changed.
	ExitConflict subcommands.ExitStatus = 5
	// ExitRolledBack means that the followed move was rolled back.
	ExitRolledBack subcommands.ExitStatus = 10
	// ExitCancelled means that the followed move was cancelled.
	ExitCancelled subcommands.ExitStatus = 11
	// ExitExpired means that the followed move expired at its deadline.
	ExitExpired subcommands.ExitStatus = 12
)
