package cli

import (
	"fmt"

	apiv1 "samphireflow/api/v1"
)

// printFaults prints the position of each fault and what is in force at its path, and the version in force.
func (e *editor) printFaults(faults []*apiv1.Fault) {
	for _, fault := range faults {
		where := fault.Path
		if position, ok := e.position(fault.Path, fault.Key); ok {
			where = position + ": " + where
		}
		if fault.Key == "" {
			fmt.Fprintf(e.session.stderr, "%s: %s (now: %s)\n", where, fault.Message, e.branchStateText(fault.Path))
			continue
		}
		now := settingText(e.value(fault.Path, fault.Key))
		fmt.Fprintf(e.session.stderr, "%s: %s: %s (now: %s)\n", where, fault.Key, fault.Message, now)
	}
	fmt.Fprintf(e.session.stderr, "version %d stays in force\n", e.current.Version)
}

// printConflicts prints, for each branch that changed since it was read, the edit that changed it and its current settings.
func (e *editor) printConflicts(conflicts []*apiv1.BranchConflict) {
	for _, conflict := range conflicts {
		where := conflict.Path
		if position, ok := e.position(conflict.Path, ""); ok {
			where = position + ": " + where
		}
		fmt.Fprintf(e.session.stderr, "%s: the branch was at version %d and is at version %d now, by edit %s of %s; it holds:\n",
			where, conflict.BaseVersion, conflict.CurrentVersion, conflict.WonByEdit, conflict.WonByOperator)
		for _, setting := range conflict.Current {
			fmt.Fprintf(e.session.stderr, "  %s = %q\n", setting.Key, setting.Value)
		}
	}
}

// position returns where the source document sets a key of a branch, or names the branch if the key is empty.
func (e *editor) position(path, key string) (string, bool) {
	if e.source == nil {
		return "", false
	}
	position, ok := e.source.FindPosition(path, key)
	return position.String(), ok
}

func (e *editor) branchStateText(path string) string {
	if version := e.baseVersion(path); version > 0 {
		return fmt.Sprintf("branch at version %d", version)
	}
	return "there is no such branch"
}
