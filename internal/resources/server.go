package resources

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Serve sets up a server of net/http, so that its connections and requests are in the account once it serves the returned
// listener. It replaces the server's handler and hooks; the hooks that were set are called, too.
func (k *Keeper) Serve(server *http.Server, next net.Listener, class Class) net.Listener {
	heads := &headCounters{heads: map[*Conn]*headCounter{}}
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, ConnOf(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) { heads.changeState(ConnOf(c), state) }
	server.Handler = handler(server.Handler, class)
	return k.Listener(next, class)
}

type connKey struct{}

// headCounters holds the counters of the headers at one server.
type headCounters struct {
	mu    sync.Mutex
	heads map[*Conn]*headCounter
}

func (h *headCounters) changeState(c *Conn, state http.ConnState) {
	if c == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateNew:
		counter := &headCounter{conn: c}
		h.heads[c] = counter
		c.onRead = counter.read
	case http.StateActive:
		c.Begin()
	case http.StateIdle:
		if counter := h.heads[c]; counter != nil {
			counter.reset()
		}
		c.Idle()
	case http.StateClosed:
		delete(h.heads, c)
		c.End()
	case http.StateHijacked:
		delete(h.heads, c)
	}
}

// handler keeps account of the requests that next handles.
func handler(next http.Handler, class Class) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		conn.Run(1)
		defer conn.Run(-1)
		memory := conn.NewMemory(0)
		defer memory.Release()
		http2 := r.ProtoMajor >= 2
		memory.refused = memory.AddRequest() != nil || http2 && memory.Add(RequestWeight(r)) != nil
		if memory.refused && !class.HandlerRefuses {
			refuse(w, http2)
			return
		}
		// The server looks at the body of its own request when the handler has returned.
		counted := r.WithContext(WithMemory(r.Context(), memory))
		if http2 {
			accounted := &http2Response{ResponseWriter: w, conn: conn}
			defer accounted.finish()
			w = accounted
		}
		if r.Body != nil && r.Body != http.NoBody {
			// Otherwise the server reads the body to its end within the first write of the handler, and a client that stops
			// short would seem to wait for the process. Writers without connections of their own do not support it.
			_ = http.NewResponseController(w).EnableFullDuplex()
			counted.Body = &body{ReadCloser: r.Body, conn: conn, memory: memory, limit: class.MaxBody}
		}
		next.ServeHTTP(w, counted)
	})
}

// refuse refuses a request for want of memory. Over HTTP/2 it resets the stream, since a response would wait for a client that
// does not read.
func refuse(w http.ResponseWriter, http2 bool) {
	if http2 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, ErrNoMemory.Error(), http.StatusServiceUnavailable)
}

// body is the body of a request. It holds memory for what its handler has read, up to a limit.
type body struct {
	io.ReadCloser
	conn   *Conn
	memory *Memory
	limit  int64
	read   int64
}

// Read returns ErrNoMemory if there is no room for more.
func (b *body) Read(buffer []byte) (int, error) {
	b.conn.Run(-1)
	n, err := b.ReadCloser.Read(buffer)
	b.conn.Run(1)
	more := min(int64(n), max(b.limit-b.read, 0)) * textCopies
	b.conn.Widen(b.read, b.read+int64(n))
	b.read += int64(n)
	if refused := b.memory.Add(more); refused != nil {
		return 0, refused
	}
	return n, err
}
