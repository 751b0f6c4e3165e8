package story

import (
	"encoding/json"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// At is the order of the line: its time, but never before an earlier line of the same log.
	At time.Time
	// Raw is the line as it was read, from its JSON object on.
	Raw string

	Message   string
	Instance  string
	RequestID string
}

// fields are those of a line that its selection needs.
type fields struct {
	Time      any    `json:"time"`
	Message   string `json:"message"`
	Instance  string `json:"instance"`
	RequestID string `json:"request_id"`
}

// parse reads a line. Whatever comes before the JSON object, such as a collector's own time and name, is passed over. It
// reports whether there is an object with a message.
func parse(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	raw := strings.TrimSpace(text[begin:])
	var f fields
	if err := json.Unmarshal([]byte(raw), &f); err != nil || f.Message == "" {
		return Line{}, false
	}
	return Line{At: timeOf(f.Time), Raw: raw, Message: f.Message, Instance: f.Instance, RequestID: f.RequestID}, true
}

// timeOf reads Unix milliseconds or RFC 3339; the zero time for neither.
func timeOf(value any) time.Time {
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
