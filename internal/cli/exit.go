package cli

import "github.com/google/subcommands"

// Exit codes of the tool.
const (
	// ExitOK says that the command did what it was asked.
	ExitOK subcommands.ExitStatus = 0
	// ExitRefused says that the system refused the command, or that it failed without any effect.
	ExitRefused subcommands.ExitStatus = 1
	// ExitUsage says that the command line or the document is wrong; nothing was sent.
	ExitUsage subcommands.ExitStatus = 2
	// ExitUnknown says that an edit or move was sent and its fate is not known. Send it again with the same ID.
	ExitUnknown subcommands.ExitStatus = 3
	// ExitUnreachable says that no control instance or node answered; nothing was changed.
	ExitUnreachable subcommands.ExitStatus = 4
	// ExitConflict says that a branch moved on since it was read; nothing was changed.
	ExitConflict subcommands.ExitStatus = 5
	// ExitTakenBack says that the followed move was taken back.
	ExitTakenBack subcommands.ExitStatus = 10
	// ExitCancelled says that the followed move was cancelled.
	ExitCancelled subcommands.ExitStatus = 11
	// ExitExpired says that the followed move expired at its deadline.
	ExitExpired subcommands.ExitStatus = 12
)
