package calls

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// HopMetadata is what a node sends to a gate about a call in addition to the request. Times are remaining durations, so
// that the clocks of the two need not agree.
type HopMetadata struct {
	// Server is the instance name of the target backend server.
	Server     string
	Route      string
	Priority   int
	Idempotent bool
	Repeated   bool
	Inner      bool
	// LongResponse is set if the response is so long that the link of the gate's instance limits such calls.
	LongResponse bool
	// Customer is the name of the customer, empty for a call without one.
	Customer  string
	Objective time.Duration
	Deadline  time.Duration
	// FinishBy is the time by which the call must be expected to finish, or else it does not wait at the gate.
	FinishBy time.Duration
}

// Numbers of fields in HopCallHeader and HopTimesHeader.
const (
	hopCallFieldCount  = 7
	hopTimesFieldCount = 3
)

// maxHopTime bounds the times in metadata, far above any deadline. Larger numbers of milliseconds overflow a duration.
const maxHopTime = 24 * time.Hour

// Write sets the header fields that ReadHopMetadata reads. HopCallHeader holds what is the same for many calls, so that it
// compresses well; HopTimesHeader holds the times in milliseconds.
func (h HopMetadata) Write(header http.Header) {
	header.Set(HopCallHeader, strings.Join([]string{url.PathEscape(h.Server), url.PathEscape(h.Route), strconv.Itoa(h.Priority), formatBool(h.Idempotent), formatBool(h.Repeated), url.PathEscape(h.Customer), formatBool(h.Inner)}, " "))
	header.Set(HopTimesHeader, strings.Join([]string{formatMilliseconds(h.Objective), formatMilliseconds(h.Deadline), formatMilliseconds(h.FinishBy)}, " "))
	if h.LongResponse {
		header.Set(HopLongHeader, formatBool(true))
	}
}

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

// ReadHopMetadata reads the header fields that Write sets.
func ReadHopMetadata(header http.Header) (HopMetadata, error) {
	fields := strings.Split(header.Get(HopCallHeader), " ")
	if len(fields) != hopCallFieldCount {
		return HopMetadata{}, errors.Errorf("%q does not have %d fields", header.Get(HopCallHeader), hopCallFieldCount)
	}
	h := HopMetadata{Idempotent: fields[3] == "1", Repeated: fields[4] == "1", Inner: fields[6] == "1", LongResponse: header.Get(HopLongHeader) == "1"}
	var err error
	if h.Server, err = url.PathUnescape(fields[0]); err != nil {
		return HopMetadata{}, errors.Wrap(err, "backend server")
	}
	if h.Route, err = url.PathUnescape(fields[1]); err != nil {
		return HopMetadata{}, errors.Wrap(err, "route")
	}
	if h.Priority, err = strconv.Atoi(fields[2]); err != nil {
		return HopMetadata{}, errors.Wrap(err, "priority")
	}
	if h.Customer, err = url.PathUnescape(fields[5]); err != nil {
		return HopMetadata{}, errors.Wrap(err, "customer")
	}
	if err := h.parseTimes(header.Get(HopTimesHeader)); err != nil {
		return HopMetadata{}, err
	}
	return h, nil
}

func (h *HopMetadata) parseTimes(text string) error {
	fields := strings.Split(text, " ")
	if len(fields) != hopTimesFieldCount {
		return errors.Errorf("%q does not have %d times", text, hopTimesFieldCount)
	}
	for i, target := range []*time.Duration{&h.Objective, &h.Deadline, &h.FinishBy} {
		ms, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return errors.Wrap(err, "time")
		}
		if ms > maxHopTime.Milliseconds() || ms < -maxHopTime.Milliseconds() {
			return errors.Errorf("time of %d ms is out of range", ms)
		}
		*target = time.Duration(ms) * time.Millisecond
	}
	return nil
}
