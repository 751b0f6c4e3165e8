package cli

import (
	apiv1 "samphireflow/api/v1"
)

// printEdits prints each change with the value before and after it.
func printEdits(p *printer, before *apiv1.ShowResponse, edits []*apiv1.BranchEdit) error {
	return p.message(&apiv1.EditRequest{Branches: edits}, func() error {
		if len(edits) == 0 {
			return p.line("no difference")
		}
		old := branchValues(before)
		var rows [][]string
		for _, edit := range edits {
			rows = append(rows, editRows(old, edit)...)
		}
		return p.table([]string{"BRANCH", "KEY", "BEFORE", "AFTER"}, rows)
	})
}

func editRows(old map[string]map[string]string, edit *apiv1.BranchEdit) [][]string {
	values, existed := old[edit.Path]
	if edit.Remove {
		return [][]string{{edit.Path, "-", "branch", "removed with all beneath it"}}
	}
	var rows [][]string
	if !existed {
		rows = append(rows, []string{edit.Path, "-", "no branch", "new branch"})
	}
	for _, change := range edit.Changes {
		value, set := values[change.Key]
		rows = append(rows, []string{edit.Path, change.Key, settingText(value, set), settingText(change.Value, !change.Unset)})
	}
	return rows
}
