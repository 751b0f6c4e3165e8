package cli

import (
	"context"
	"strconv"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireflow/internal/backup"
	"samphireflow/internal/replica"
	"samphireflow/internal/wal"
)

func dataCommands(s *session) *commandSet {
	return &commandSet{
		name: "data", synopsis: "check, back up and restore the data folder of a stopped control instance", session: s,
		commands: []subcommands.Command{
			&command{
				name: "verify", args: "DIR", minArgs: 1, maxArgs: 1, session: s,
				synopsis: "check every record of a data folder",
				run:      func(_ context.Context, s *session, args []string) error { return verifyData(s, args[0]) },
			},
			&command{
				name: "describe", args: "DIR", minArgs: 1, maxArgs: 1, session: s,
				synopsis: "check a data folder and tell what it holds",
				run:      func(_ context.Context, s *session, args []string) error { return describeData(s, args[0]) },
			},
			&command{
				name: "backup", args: "DIR FILE", minArgs: 2, maxArgs: 2, session: s,
				synopsis: "write the state of a data folder into a file",
				run:      func(_ context.Context, s *session, args []string) error { return backupData(s, args[0], args[1]) },
			},
			&command{
				name: "restore", args: "FILE DIR NAME IP:PORT", minArgs: 4, maxArgs: 4, session: s,
				synopsis: "make the data folder of a new group of one instance, with its name and control address",
				run:      func(_ context.Context, s *session, args []string) error { return restoreData(s, args) },
			},
		},
	}
}

func verifyData(s *session, dir string) error {
	contents, err := wal.Read(wal.OS{}, dir)
	if err != nil {
		return err
	}
	if contents.Identity == nil {
		return s.printer().line("blank")
	}
	return s.printer().line("whole")
}

func describeData(s *session, dir string) error {
	contents, err := wal.Read(wal.OS{}, dir)
	if err != nil {
		return err
	}
	if contents.Identity == nil {
		return s.printer().line("blank")
	}
	_, summary, err := backup.Compact(contents)
	if err != nil && !errors.Is(err, backup.ErrNoState) {
		return err
	}
	state := contents.State
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	torn := "none"
	if contents.TornFile != "" {
		torn = contents.TornFile + " at byte " + strconv.FormatInt(contents.TornAt, 10)
	}
	return s.printer().table([]string{"WHAT", "VALUE"}, [][]string{
		{"cluster", contents.Identity.ClusterId},
		{"instance", contents.Identity.Name},
		{"identity", contents.Identity.Identity},
		{"term", number(state.HardState.Term)},
		{"vote", state.HardState.Vote},
		{"known commit", number(state.HardState.Commit)},
		{"snapshot", number(state.Snapshot.Index)},
		{"entries behind it", strconv.Itoa(len(state.Entries))},
		{"segments", strconv.Itoa(len(contents.Segments))},
		{"torn record", torn},
		{"configuration version", number(summary.Version)},
		{"members at the snapshot", memberNames(state.Snapshot.Membership.GetMembers())},
	})
}

func backupData(s *session, dir, file string) error {
	summary, err := backup.Write(wal.OS{}, dir, file)
	if err != nil {
		return err
	}
	return printSummary(s, summary)
}

func restoreData(s *session, args []string) error {
	if err := checkAddress(args[3]); err != nil {
		return usageError(err)
	}
	summary, err := backup.Restore(wal.OS{}, args[0], args[1], replica.Member{ID: args[2], ControlAddr: args[3]})
	if err != nil {
		return err
	}
	return printSummary(s, summary)
}

func printSummary(s *session, summary backup.Summary) error {
	number := func(n uint64) string { return strconv.FormatUint(n, 10) }
	return s.printer().table([]string{"CONFIGURATION VERSION", "LAST ENTRY"}, [][]string{{number(summary.Version), number(summary.Index)}})
}
