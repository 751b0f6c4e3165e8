package deployment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// line is one line of the demo's table.
type line struct {
	what   string
	figure string
	err    error
}

// report collects the lines of the demo.
type report struct {
	lines []line
	out   io.Writer
}

// add adds a line and tells it at once.
func (r *report) add(what, figure string, err error) {
	r.lines = append(r.lines, line{what: what, figure: figure, err: err})
	fmt.Fprintf(r.out, "  %s: %s\n", r.lines[len(r.lines)-1].verdict(), what)
	if err != nil {
		fmt.Fprintf(r.out, "      %v\n", err)
	}
}

func (l line) verdict() string {
	if l.err != nil {
		return "MISSED"
	}
	return "met"
}

// missed counts the lines that were not met.
func (r *report) missed() int {
	missed := 0
	for _, line := range r.lines {
		if line.err != nil {
			missed++
		}
	}
	return missed
}

// print writes the table.
func (r *report) print() {
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nWHAT\tRESULT\tFIGURES")
	for _, line := range r.lines {
		fmt.Fprintf(table, "%s\t%s\t%s\n", line.what, line.verdict(), line.figure)
	}
	table.Flush()
}
