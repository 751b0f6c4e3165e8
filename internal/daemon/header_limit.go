package daemon

import (
	"fmt"
	"net/http"

	"samphireflow/internal/proxy"
)

// maxCallHeaderBytes is the largest accepted header of a call. It is below maxCallerHeaderBytes, above which net/http responds
// by itself, without the outcome of the call.
const maxCallHeaderBytes = 64 << 10

// limitHeader refuses calls whose header is too large, before they are executed.
func limitHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerBytes(r) <= maxCallHeaderBytes {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeNotRun))
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		// The caller may have disconnected by now.
		_, _ = fmt.Fprintf(w, "the header is longer than %d bytes\n", maxCallHeaderBytes)
	})
}

// headerBytes returns the total length of a request's target and header fields.
func headerBytes(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
