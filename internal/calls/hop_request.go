package calls

import (
	"net/http"
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

// Numbers of fields of the two text forms.
const (
	hopCallFields  = 4
	hopTimesFields = 3
)

// Write sets the header fields that ReadHopRequest reads. One holds what repeats from call to call, so that it packs well,
// the other the times in milliseconds.
func (h HopRequest) Write(header http.Header) {
	repeat := "0"
	if h.Idempotent {
		repeat = "1"
	}
	header.Set(HopCall, strings.Join([]string{url.PathEscape(h.Server), url.PathEscape(h.Route), strconv.Itoa(h.Priority), repeat}, " "))
	header.Set(HopTimes, strings.Join([]string{msText(h.Objective), msText(h.Deadline), msText(h.Patience)}, " "))
}

func msText(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// ReadHopRequest reads what Write sets.
func ReadHopRequest(header http.Header) (HopRequest, error) {
	fields := strings.Split(header.Get(HopCall), " ")
	if len(fields) != hopCallFields {
		return HopRequest{}, errors.Errorf("%q does not have %d fields", header.Get(HopCall), hopCallFields)
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
	if err := h.readTimes(header.Get(HopTimes)); err != nil {
		return HopRequest{}, err
	}
	return h, nil
}

func (h *HopRequest) readTimes(text string) error {
	fields := strings.Split(text, " ")
	if len(fields) != hopTimesFields {
		return errors.Errorf("%q does not have %d times", text, hopTimesFields)
	}
	for i, to := range []*time.Duration{&h.Objective, &h.Deadline, &h.Patience} {
		ms, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return errors.Wrap(err, "time")
		}
		*to = time.Duration(ms) * time.Millisecond
	}
	return nil
}
