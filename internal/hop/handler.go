package hop

import (
	"context"
	"net"
	"net/http"

	"github.com/rs/zerolog"
)

// framing are the header fields that say how a message stands on its connection; they are not packed.
var framing = map[string]bool{"Content-Length": true, "Connection": true, "Transfer-Encoding": true}

// connection is the server's side of one connection. Its requests come one after the other.
type connection struct {
	packer   *Encoder
	unpacker *Decoder
}

type connectionKey struct{}

// ConnContext gives a connection its state; it is for http.Server.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{NewEncoder(), NewDecoder()})
}

// Handler returns a handler that unpacks requests for another one and packs its answers. Its server must have
// ConnContext.
func Handler(next http.Handler, logger zerolog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		state := r.Context().Value(connectionKey{}).(*connection)
		fields, err := state.unpacker.Decode(r.Header.Get(HeaderName))
		if err != nil || fields.Target == "" {
			logger.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("a call from another node cannot be unpacked; its connection is closed")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for name := range framing {
			if values := r.Header[name]; values != nil {
				fields.Header[name] = values
			}
		}
		r.Header, r.RequestURI, r.Host = fields.Header, fields.Target, fields.Host
		next.ServeHTTP(&answer{ResponseWriter: w, packer: state.packer}, r)
	})
}

// answer packs the header fields of an answer.
type answer struct {
	http.ResponseWriter
	packer *Encoder
	packed bool
}

// WriteHeader packs and sends the header fields.
func (a *answer) WriteHeader(status int) {
	if !a.packed {
		a.packed = true
		header := a.Header()
		moved := http.Header{}
		for name, values := range header {
			// A name without values keeps net/http from adding the field.
			if !framing[name] && len(values) > 0 {
				moved[name] = values
				delete(header, name)
			}
		}
		if _, sniffed := header["Content-Type"]; !sniffed {
			header["Content-Type"] = nil
		}
		header.Set(HeaderName, a.packer.Encode(Fields{Header: moved}))
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a piece of the body.
func (a *answer) Write(data []byte) (int, error) {
	if !a.packed {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(data)
}
