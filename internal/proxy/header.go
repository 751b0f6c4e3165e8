package proxy

import (
	"net/http"
	"slices"

	"samphireflow/internal/calls"
)

// copyHeader copies the end-to-end headers from one message to another.
func copyHeader(to, from http.Header) {
	for name, values := range calls.EndToEnd(from) {
		to[name] = slices.Clone(values)
	}
}
