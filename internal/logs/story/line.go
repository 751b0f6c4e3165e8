package story

import (
	"encoding/json"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// SortTime orders the lines: it is the time of the line, but never before that of an earlier line of the same process.
	SortTime time.Time
	// Raw is the line as it was read, starting at its JSON object.
	Raw string

	Message   string
	Instance  string
	RequestID string
}

// lineFields holds the JSON fields by which lines are selected and ordered.
type lineFields struct {
	Time      any    `json:"time"`
	Message   string `json:"message"`
	Instance  string `json:"instance"`
	RequestID string `json:"request_id"`
}

// parseLine parses a line. It skips whatever precedes the JSON object, such as a time and a name that a log collector
// added. It returns false if there is no object with a message.
func parseLine(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	raw := strings.TrimSpace(text[begin:])
	var f lineFields
	if err := json.Unmarshal([]byte(raw), &f); err != nil || f.Message == "" {
		return Line{}, false
	}
	return Line{SortTime: parseTime(f.Time), Raw: raw, Message: f.Message, Instance: f.Instance, RequestID: f.RequestID}, true
}

// parseTime parses a time in Unix milliseconds or RFC 3339. It returns the zero time for anything else.
func parseTime(value any) time.Time {
	switch v := value.(type) {
	case float64:
		return time.UnixMilli(int64(v))
	case string:
		if at, err := time.Parse(time.RFC3339, v); err == nil {
			return at
		}
	}
	return time.Time{}
}
