package ingress

import (
	"io"

	"github.com/pkg/errors"
)

// observedRest reports the end of a response that is passed on as it is read. It reports nothing if the response is closed before.
type observedRest struct {
	io.ReadCloser
	onEnd func(whole bool)
	ended bool
}

// Read implements io.Reader.
func (r *observedRest) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	if err != nil && !r.ended {
		r.ended = true
		r.onEnd(errors.Is(err, io.EOF))
	}
	return n, err
}
