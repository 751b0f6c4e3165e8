package cli

import (
	"time"

	"github.com/pkg/errors"
)

// parseDeadline parses a duration from now or a time in RFC 3339. The deadline must be in the future.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return futureTime(text, now.Add(duration), now)
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("--deadline %q is neither a duration such as 30m nor a time such as 2026-01-31T04:00:00Z", text)
	}
	return futureTime(text, deadline, now)
}

// futureTime returns the deadline, or an error with the text of the flag if the deadline is not in the future.
func futureTime(text string, deadline, now time.Time) (time.Time, error) {
	if !deadline.After(now) {
		return time.Time{}, errors.Errorf("--deadline %q is not in the future", text)
	}
	return deadline, nil
}
