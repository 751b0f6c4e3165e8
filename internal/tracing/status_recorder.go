package tracing

import "net/http"

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader remembers the status and passes it on.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer beneath.
func (r *statusRecorder) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}
