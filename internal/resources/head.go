package resources

import (
	"bytes"
	"net/http"
	"sync"
)

// headCounter counts what the header of a request weighs while it arrives at a server that reads it by itself.
type headCounter struct {
	conn *Conn

	mu sync.Mutex
	// first holds the first bytes of the connection, as long as they may begin HTTP/2. http2 is set once they do: headers are
	// counted when they are handled then.
	first          []byte
	decided, http2 bool
	// done is set once the header is complete. held is what the connection holds for it.
	done bool
	held int64
	// last holds the last bytes, in which the empty line at the end of the header may have begun.
	last []byte
}

// read counts bytes of a header. Bytes behind the header are not counted.
func (h *headCounter) read(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.decided {
		if err := h.decide(data); err != nil {
			return err
		}
	}
	if h.done || h.http2 {
		// Frames such as pings are no requests.
		return nil
	}
	h.conn.Begin()
	h.last = append(h.last, data[:min(len(data), 3)]...)
	h.done = bytes.Contains(data, []byte("\r\n\r\n")) || bytes.Contains(h.last, []byte("\r\n\r\n"))
	h.last = append(h.last[:0], data[max(0, len(data)-3):]...)
	weight := HeadWeight(bytes.Count(data, []byte("\n")), len(data))
	if err := h.conn.Hold(weight); err != nil {
		return err
	}
	h.held += weight
	return nil
}

// http2Start begins each connection that carries HTTP/2, and no request of HTTP/1.
var http2Start = []byte("PRI * ")

// decide finds out by the first bytes whether the connection carries HTTP/2.
func (h *headCounter) decide(data []byte) error {
	h.first = append(h.first, data[:min(len(data), len(http2Start)-len(h.first))]...)
	if !bytes.HasPrefix(http2Start, h.first) {
		h.decided = true
		return nil
	}
	if len(h.first) < len(http2Start) {
		return nil
	}
	h.decided, h.http2 = true, true
	return h.conn.beginHTTP2()
}

// reset begins with the next request.
func (h *headCounter) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.conn.Hold(-h.held)
	h.done, h.held, h.last = false, 0, nil
}

// HeadWeight returns the memory of a header with a number of fields and bytes.
func HeadWeight(fields, length int) int64 {
	return int64(fields)*fieldCost + int64(length)*textCopies
}

// RequestWeight returns the memory of the header of a request.
func RequestWeight(r *http.Request) int64 {
	fields, length := 0, len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			fields++
			length += len(name) + len(value)
		}
	}
	return HeadWeight(fields, length)
}
