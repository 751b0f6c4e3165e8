package calls

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers names the header fields of calls. The deployment's platform may have names of its own.
type Headers struct {
	// RequestID is the ID of an attempt; backend servers repeat it on the answer.
	RequestID string
	// DeadlineMs is the time that the caller waits, in milliseconds.
	DeadlineMs string
	// Caller names the service that calls.
	Caller string
	// TargetServer names the backend server that may run the request; any other refuses it.
	TargetServer string
	// NotRun marks an answer of a backend server that has not run the request.
	NotRun string
	// Load tells the load of a backend server: running, waiting, slots.
	Load string
	// Stamp is on every answer that a backend server made itself; empty where they do not stamp their answers.
	Stamp string
}

// DefaultHeaders are the project's own names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID:    "Samphireflow-Request-Id",
		DeadlineMs:   "Samphireflow-Deadline-Ms",
		Caller:       "Samphireflow-Caller",
		TargetServer: "Samphireflow-Target",
		NotRun:       "Samphireflow-Shed",
		Load:         "Samphireflow-Load",
	}
}

// Header fields between a node and a gate. They come from and go to no one else. Their names and forms are short, as
// every call carries them between failure domains.
const (
	// HopCallHeader and HopTimes carry a HopRequest, HopResult what came of it.
	HopCallHeader   = "Sf-Call"
	HopTimesHeader  = "Sf-Times"
	HopResultHeader = "Sf-Result"
)

// hopByHop are the header fields that belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// EndToEnd returns the header fields that are passed on.
func EndToEnd(header http.Header) http.Header {
	connectionHeader := connectionHeaders(header)
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if hopByHop[name] || connectionHeader[name] || name == HopCallHeader || name == HopTimesHeader || name == HopResultHeader {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// connectionHeaders lists the header fields that the Connection field names.
func connectionHeaders(header http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
