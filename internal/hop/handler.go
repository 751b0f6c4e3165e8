package hop

import (
	"context"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// framingFields are the header fields that frame a message on its connection. They are not compressed.
var framingFields = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true}

// connState is the server's compression state of one connection, which carries one request at a time.
type connState struct {
	encoder *Encoder
	decoder *Decoder
}

type connStateKey struct{}

// ConnContext adds the compression state of a connection to its context. It is the ConnContext of an http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connStateKey{}, &connState{NewEncoder(), NewDecoder()})
}

// Handler returns a handler that decodes the header fields of requests, passes the requests to next and compresses the
// header fields of the responses. Its server must use ConnContext.
func Handler(next http.Handler, logger zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := r.Context().Value(connStateKey{}).(*connState)
		fields, err := state.decoder.Decode(r.Header.Get(HeaderName))
		if err != nil || fields.Target == "" {
			logger.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("cannot decode the header fields of a call from another node; closing its connection")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for name := range framingFields {
			if values := r.Header[name]; values != nil {
				fields.Header[name] = values
			}
		}
		r.Header, r.RequestURI, r.Host = fields.Header, fields.Target, fields.Host
		next.ServeHTTP(&response{ResponseWriter: w, encoder: state.encoder}, r)
	})
}

// response is an http.ResponseWriter that compresses header fields.
type response struct {
	http.ResponseWriter
	encoder     *Encoder
	wroteHeader bool
}

// WriteHeader compresses and sends the header fields.
func (w *response) WriteHeader(status int) {
	if !w.wroteHeader {
		w.wroteHeader = true
		header := w.Header()
		compressed := http.Header{}
		for name, values := range header {
			// A field without values stays in header: it keeps net/http from adding a default value.
			if !framingFields[name] && len(values) > 0 {
				compressed[name] = values
				delete(header, name)
			}
		}
		if _, present := header["Content-Type"]; !present {
			// A field without values keeps net/http from guessing the type from the body.
			header["Content-Type"] = nil
		}
		header.Set(HeaderName, w.encoder.Encode(Fields{Header: compressed}))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *response) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}
