package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// answer is the whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
	// took is the time of the exchange with the backend server, without what came before it had a connection.
	took time.Duration
}

// systemHeaders are set by the system on an answer and are not taken over from a backend server or another node.
var systemHeaders = []string{HeaderOutcome, HeaderRepeated, HeaderCall, HeaderDraining, headerGrant, headerTook}

func (a *answer) write(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	copyHeader(header, a.header)
	for _, name := range systemHeaders {
		if name != HeaderRepeated {
			delete(header, name)
		}
	}
	header.Set(HeaderOutcome, string(OutcomeDone))
	if request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}
