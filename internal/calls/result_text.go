package calls

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// String returns the form that ParseResult reads: outcome, reason, load, RetryAfter in milliseconds and Latency in
// microseconds, separated by spaces. It does not include Detail and Response.
func (r *Result) String() string {
	reason, load := string(r.Reason), "-"
	if r.Reason == ReasonNone {
		reason = "-"
	}
	if r.Load != nil {
		load = r.Load.String()
	}
	return strings.Join([]string{
		string(r.Outcome), reason, load, formatMilliseconds(r.RetryAfter), strconv.FormatInt(r.Latency.Microseconds(), 10),
	}, " ")
}

// resultFieldCount is the number of fields of the text form.
const resultFieldCount = 5

// ParseResult parses the text form of a Result.
func ParseResult(text string) (*Result, error) {
	fields := strings.Split(text, " ")
	if len(fields) != resultFieldCount {
		return nil, errors.Errorf("%q does not have %d fields", text, resultFieldCount)
	}
	r := &Result{Outcome: Outcome(fields[0])}
	switch r.Outcome {
	case Answered, NotRun, Unknown, Expired, Canceled:
	default:
		return nil, errors.Errorf("%q is not a fate", fields[0])
	}
	if fields[1] != "-" {
		r.Reason = Reason(fields[1])
	}
	if load, ok := ParseLoad(fields[2]); ok {
		r.Load = &load
	}
	retryMs, err := strconv.ParseInt(fields[3], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "time to come back")
	}
	latencyUs, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "time of the exchange")
	}
	r.RetryAfter = time.Duration(retryMs) * time.Millisecond
	r.Latency = time.Duration(latencyUs) * time.Microsecond
	return r, nil
}
