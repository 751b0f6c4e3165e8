package story

import (
	"bufio"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Log holds the lines of processes in one order.
//
// Lines of one process keep the order in which it wrote them, even if its clock was set back meanwhile: a line counts as no
// earlier than the one before it. Between processes the clocks decide. Where they differ, compare versions and terms in
// the lines.
type Log struct {
	lines []Line
	// Skipped is the number of lines that hold no message.
	Skipped int
}

// Read adds the lines of a file, which may hold those of several processes, told apart by their instance.
func (l *Log) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	last := map[string]Line{}
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			l.Skipped++
			continue
		}
		if before, known := last[line.Instance]; known && line.At.Before(before.At) {
			line.At = before.At
		}
		last[line.Instance] = line
		l.lines = append(l.lines, line)
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// Request returns the lines that name a request, in order.
func (l *Log) Request(id string) []Line {
	return l.pick(func(line Line) bool { return line.RequestID == id })
}

// beliefs are the messages by which processes tell that they believe something else from then on.
var beliefs = map[string]bool{
	"started":                      true,
	"stopped":                      true,
	"stopping: not ready any more": true,
	"settings read again":          true,
	"changed settings cannot be used; the old ones stay in force": true,
	"formed a new control group":                                  true,
	"the control group changes":                                   true,
	"members of the control group changed":                        true,
	"leader of the control group changed":                         true,
	"control peer changed":                                        true,
	"control storage failed; the instance takes no further part":  true,
	"document proposed":                                           true,
	"version of a service adopted from its backend servers":       true,
	"move judged":                              true,
	"decision on a move recorded":              true,
	"configuration applied":                    true,
	"configuration refused":                    true,
	"control instances learned":                true,
	"relays learned":                           true,
	"works as a relay":                         true,
	"floor of the configuration version known": true,
	"floor of the configuration version not known, no quorum answers; serving by what is known here": true,
	"turned to a sender whose word is younger":                                                       true,
	"late heartbeat passed over":                                                                     true,
	"backend server ejected":                                                                         true,
	"a backend server died with the request in flight":                                               true,
}

// StateChanges returns the lines that tell a change of what a process believes, in order; of one instance if it is named.
func (l *Log) StateChanges(instance string) []Line {
	return l.pick(func(line Line) bool {
		return beliefs[line.Message] && (instance == "" || line.Instance == instance)
	})
}

func (l *Log) pick(wanted func(Line) bool) []Line {
	var list []Line
	for _, line := range l.lines {
		if wanted(line) {
			list = append(list, line)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list
}
