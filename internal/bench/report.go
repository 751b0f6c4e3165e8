package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable prints results as a table that also shows which targets are met and which are missed.
func WriteTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVALUE\tUNIT\tTARGET\tVERDICT\tSEED")
	for _, result := range results {
		target, verdict := "-", "-"
		if result.Target != nil {
			target = fmt.Sprintf("%g", *result.Target)
		}
		if result.Meets != nil {
			verdict = "missed"
			if *result.Meets {
				verdict = "met"
			}
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\t%s\t%d\n", result.Name, result.Value, result.Unit, target, verdict, result.Seed)
	}
	return errors.Wrap(table.Flush(), "print table")
}

// WriteFile writes results as a JSON array and creates the folder of the file if necessary.
func WriteFile(path string, results []Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "create folder of results")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}

// ReadFile reads results that WriteFile wrote. A missing file yields no results.
func ReadFile(path string) ([]Result, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	var results []Result
	return results, errors.Wrapf(json.Unmarshal(data, &results), "decode results in %s", path)
}

// Merge returns old with all results of the commands in results replaced by the new ones.
func Merge(old, results []Result) []Result {
	replaced := map[string]bool{}
	for _, result := range results {
		replaced[result.Command] = true
	}
	var merged []Result
	for _, result := range old {
		if !replaced[result.Command] {
			merged = append(merged, result)
		}
	}
	return append(merged, results...)
}
