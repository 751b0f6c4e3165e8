package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeader copies the end-to-end headers of one message to another.
func copyHeader(to, from http.Header) {
	named := connectionHeaders(from)
	for name, values := range from {
		if hopHeaders[name] || named[name] {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}

// connectionHeaders lists the headers that the Connection header names.
func connectionHeaders(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
