package rpcbytes

import (
	"io"
	"net/http"
	"sync/atomic"
)

// countingBody counts what is read of a request's body.
type countingBody struct {
	io.ReadCloser
	bytes *atomic.Uint64
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(uint64(n))
	return n, err
}

// countingWriter counts what is written of a response's body.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Uint64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes.Add(uint64(n))
	return n, err
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
