package cli

import (
	"time"

	"github.com/pkg/errors"
)

// parseDeadline reads a duration from now or a time in RFC 3339.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if length, err := time.ParseDuration(text); err == nil {
		return futureTime(text, now.Add(length), now)
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, errors.Errorf("--deadline %q is neither a duration such as 30m nor a time such as 2026-01-31T04:00:00Z", text)
	}
	return futureTime(text, deadline, now)
}

func futureTime(text string, deadline, now time.Time) (time.Time, error) {
	if !deadline.After(now) {
		return time.Time{}, errors.Errorf("--deadline %q is not in the future", text)
	}
	return deadline, nil
}
