package calls

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers holds the names of the header fields of calls. A deployment's platform may use other names than the default.
type Headers struct {
	// RequestID is the ID of an attempt; backend servers repeat it in the response.
	RequestID string
	// IDSeparator follows the request ID of a run at the beginning of the request IDs of the calls that the run makes. It is
	// empty if request IDs do not tell which run makes a call.
	IDSeparator string
	// DeadlineMs is the time in milliseconds for which the caller waits for the response.
	DeadlineMs string
	// Caller is the service of the caller.
	Caller string
	// TargetServer is the instance name of the backend server that may run the request; any other refuses it.
	TargetServer string
	// NotRun is set in the response of a backend server that has not run the request.
	NotRun string
	// Load is the load of a backend server in the form that ParseLoad reads.
	Load string
	// Customer tells backend servers the name of the customer. It is empty if the deployment has no such field; then the
	// customer is not sent.
	Customer string
	// Key carries the key of a customer, after KeyScheme and a space if that is not empty. It is never forwarded while
	// callers are authenticated.
	Key       string
	KeyScheme string
	// Stamp is set in every response that comes from a backend server itself. It is empty if the deployment's backend
	// servers set no such field.
	Stamp string
	// ColdMs is the time in milliseconds for which a backend server is still cold. It is empty if the deployment's backend
	// servers set no such field.
	ColdMs string
}

// DefaultHeaders returns the names that are used unless the platform has others.
func DefaultHeaders() Headers {
	return Headers{
		RequestID:    "Samphireflow-Request-Id",
		IDSeparator:  ".",
		DeadlineMs:   "Samphireflow-Deadline-Ms",
		Caller:       "Samphireflow-Caller",
		TargetServer: "Samphireflow-Target",
		NotRun:       "Samphireflow-Shed",
		Load:         "Samphireflow-Load",
		Customer:     "Samphireflow-Customer",
		Key:          "Authorization",
		KeyScheme:    "Bearer",
	}
}

// Header fields between a node and a gate; they are never forwarded to callers or backend servers. Their names and values
// are short, because every call carries them between failure domains.
const (
	// HopCallHeader and HopTimesHeader carry a HopMetadata; HopResultHeader carries the text form of a Result.
	HopCallHeader   = "Sf-Call"
	HopTimesHeader  = "Sf-Times"
	HopResultHeader = "Sf-Result"
	// HopLongHeader is set in calls with a long response only.
	HopLongHeader = "Sf-Long"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
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

// EndToEnd returns the header fields that are forwarded.
func EndToEnd(header http.Header) http.Header {
	listed := connectionHeaders(header)
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if hopByHop[name] || listed[name] || name == HopCallHeader || name == HopTimesHeader || name == HopResultHeader || name == HopLongHeader {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// connectionHeaders returns the header fields that the Connection field lists.
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
