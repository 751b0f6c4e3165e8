package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// bufferedResponse is a response of a backend server with its whole body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// latency is the time from having a connection to the backend server until the end of the response.
	latency time.Duration
}

// systemHeaders are the headers that the proxy or the gate sets itself. Those that a backend server or another node sent
// are not forwarded.
var systemHeaders = []string{HeaderOutcome, HeaderRepeated, HeaderCall, HeaderDraining, headerGrant, headerLatency}

func (b *bufferedResponse) write(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	copyHeader(header, b.header)
	for _, name := range systemHeaders {
		if name != HeaderRepeated {
			delete(header, name)
		}
	}
	header.Set(HeaderOutcome, string(OutcomeDone))
	if request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}
