package exchange

import (
	"io"
	"net/http"
)

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	// Body holds the whole body, or its start if Rest is set.
	Body []byte
	// Rest is the part that follows Body if the response is too long to buffer. It must be read to its end or closed. An
	// error other than io.EOF means that the response is incomplete.
	Rest io.ReadCloser
	// PieceBytes is the length of the pieces in which Rest is passed on, for which there is memory.
	PieceBytes int
	// Length is the length of the whole body, -1 if it is not known before the end.
	Length int64
}
