package calls

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// HopRequest is what a node tells a gate about a call. Times are what is left of them, so that the clocks of the two need
// not agree.
type HopRequest struct {
	// Server is the instance name of the backend server that is meant.
	Server     string
	Route      string
	Priority   int
	Idempotent bool
	Objective  time.Duration
	Deadline   time.Duration
	// Patience is the time by which the answer must be expected for the call to wait.
	Patience time.Duration
}

// hopRequestFields is the number of fields of the text form.
const hopRequestFields = 7

// String returns the form that ParseHopRequest reads: the fields in order, separated by spaces, times in milliseconds.
func (h HopRequest) String() string {
	repeat := "0"
	if h.Idempotent {
		repeat = "1"
	}
	return strings.Join([]string{
		url.PathEscape(h.Server), url.PathEscape(h.Route), strconv.Itoa(h.Priority), repeat,
		msText(h.Objective), msText(h.Deadline), msText(h.Patience),
	}, " ")
}

func msText(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// ParseHopRequest reads what String writes.
func ParseHopRequest(text string) (HopRequest, error) {
	fields := strings.Split(text, " ")
	if len(fields) != hopRequestFields {
		return HopRequest{}, errors.Errorf("%q does not have %d fields", text, hopRequestFields)
	}
	h := HopRequest{Idempotent: fields[3] == "1"}
	var err error
	if h.Server, err = url.PathUnescape(fields[0]); err != nil {
		return HopRequest{}, errors.Wrap(err, "backend server")
	}
	if h.Route, err = url.PathUnescape(fields[1]); err != nil {
		return HopRequest{}, errors.Wrap(err, "route")
	}
	if h.Priority, err = strconv.Atoi(fields[2]); err != nil {
		return HopRequest{}, errors.Wrap(err, "priority")
	}
	for i, to := range []*time.Duration{&h.Objective, &h.Deadline, &h.Patience} {
		ms, err := strconv.ParseInt(fields[4+i], 10, 64)
		if err != nil {
			return HopRequest{}, errors.Wrap(err, "time")
		}
		*to = time.Duration(ms) * time.Millisecond
	}
	return h, nil
}
