package resources

import "net/http"

// http2Response is the http.ResponseWriter of a request over HTTP/2. While it waits for the client to take the response, the
// process does not count as working on the request.
type http2Response struct {
	http.ResponseWriter
	conn *Conn
}

// Write implements http.ResponseWriter.
func (w *http2Response) Write(data []byte) (int, error) {
	w.conn.Run(-1)
	defer w.conn.Run(1)
	return w.ResponseWriter.Write(data)
}

// FlushError implements the interface that http.ResponseController uses.
func (w *http2Response) FlushError() error {
	w.conn.Run(-1)
	defer w.conn.Run(1)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *http2Response) Flush() { _ = w.FlushError() }

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *http2Response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// finish sends what the server has buffered while the request still counts. A handler that panics sends nothing more.
func (w *http2Response) finish() {
	if cause := recover(); cause != nil {
		panic(cause)
	}
	w.Flush()
}
