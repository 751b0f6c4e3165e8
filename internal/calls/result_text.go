package calls

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// String returns the form that ParseResult reads: outcome, reason, load, RetryAfter in milliseconds, Latency in
// microseconds and Pressure in percent if it is known, separated by spaces. It does not include Detail and Response.
func (r *Result) String() string {
	reason, load := string(r.Reason), "-"
	if r.Reason == ReasonNone {
		reason = "-"
	}
	if r.Load != nil {
		load = r.Load.String()
	}
	fields := []string{
		string(r.Outcome), reason, load, formatMilliseconds(r.RetryAfter), strconv.FormatInt(r.Latency.Microseconds(), 10),
	}
	if r.Pressure > 0 {
		fields = append(fields, strconv.Itoa(int(math.Ceil(percent*r.Pressure))))
	}
	return strings.Join(fields, " ")
}

// resultFieldCount is the number of fields of the text form without the pressure.
const resultFieldCount = 5

// ParseResult parses the text form of a Result.
func ParseResult(text string) (*Result, error) {
	fields := strings.Split(text, " ")
	if len(fields) != resultFieldCount && len(fields) != resultFieldCount+1 {
		return nil, errors.Errorf("%q does not have %d or %d fields", text, resultFieldCount, resultFieldCount+1)
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
	if len(fields) > resultFieldCount {
		pressure, err := strconv.Atoi(fields[resultFieldCount])
		if err != nil || pressure < 0 {
			return nil, errors.Errorf("%q is not a pressure in percent", fields[resultFieldCount])
		}
		r.Pressure = float64(pressure) / percent
	}
	r.RetryAfter = time.Duration(retryMs) * time.Millisecond
	r.Latency = time.Duration(latencyUs) * time.Microsecond
	return r, nil
}
