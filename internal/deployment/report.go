package deployment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// reportLine is the result of one step of the demo.
type reportLine struct {
	description string
	figures     string
	err         error
}

// report collects the results of the demo.
type report struct {
	lines []reportLine
	out   io.Writer
}

// add adds the result of a step and prints it immediately.
func (r *report) add(description, figures string, err error) {
	r.lines = append(r.lines, reportLine{description: description, figures: figures, err: err})
	fmt.Fprintf(r.out, "  %s: %s\n", r.lines[len(r.lines)-1].verdict(), description)
	if err != nil {
		fmt.Fprintf(r.out, "      %v\n", err)
	}
}

// verdict returns how the table shows whether the step succeeded.
func (l reportLine) verdict() string {
	if l.err != nil {
		return "MISSED"
	}
	return "met"
}

// missed counts the steps that failed.
func (r *report) missed() int {
	missed := 0
	for _, line := range r.lines {
		if line.err != nil {
			missed++
		}
	}
	return missed
}

// print prints the table of all results.
func (r *report) print() {
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nWHAT\tRESULT\tFIGURES")
	for _, line := range r.lines {
		fmt.Fprintf(table, "%s\t%s\t%s\n", line.description, line.verdict(), line.figures)
	}
	table.Flush()
}
