package exchange

import (
	"io"
	"net/http"
)

// Response is the answer to a Request.
type Response struct {
	Status int
	Header http.Header
	// Body holds the whole body, or its beginning when Rest is set.
	Body []byte
	// Rest is what follows Body in an answer that is too long to hold. It must be read to its end or closed. An error
	// other than io.EOF means that the answer is not whole.
	Rest io.ReadCloser
	// Length is the length of the whole body, -1 when it is not known before the end.
	Length int64
}
