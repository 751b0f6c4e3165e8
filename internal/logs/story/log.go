package story

import (
	"bufio"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// maxLineBytes bounds the length of one line.
const maxLineBytes = 1 << 20

// Log holds the log lines of several processes and returns them in one order.
//
// Lines of one process keep the order in which it wrote them, even if its clock was set back in between: a line counts as
// no earlier than the one before it. Lines of different processes are ordered by their clocks. If the clocks differ,
// compare the versions and terms in the lines instead.
type Log struct {
	lines []Line
	// Skipped is the number of lines without a message.
	Skipped int
}

// Read adds the lines of a file, which may hold lines of several processes. Processes are distinguished by the instance
// field.
func (l *Log) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	last := map[string]Line{}
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		if !ok {
			l.Skipped++
			continue
		}
		if before, known := last[line.Instance]; known && line.SortTime.Before(before.SortTime) {
			line.SortTime = before.SortTime
		}
		last[line.Instance] = line
		l.lines = append(l.lines, line)
	}
	return errors.Wrap(scanner.Err(), "read a log")
}

// Request returns the lines that carry the given request ID, in order.
func (l *Log) Request(id string) []Line {
	return l.filter(func(line Line) bool { return line.RequestID == id })
}

// stateChangeMessages are the messages with which processes log a change of their state: of their lifecycle, settings,
// configuration, leader, members, moves, or view of the backend servers.
var stateChangeMessages = map[string]bool{
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

// StateChanges returns the lines that log a state change, in order. A non-empty instance selects only lines of that
// instance.
func (l *Log) StateChanges(instance string) []Line {
	return l.filter(func(line Line) bool {
		return stateChangeMessages[line.Message] && (instance == "" || line.Instance == instance)
	})
}

func (l *Log) filter(wanted func(Line) bool) []Line {
	var list []Line
	for _, line := range l.lines {
		if wanted(line) {
			list = append(list, line)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].SortTime.Before(list[j].SortTime) })
	return list
}
