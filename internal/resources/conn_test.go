package resources

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// acceptedPair returns an accepted connection with an account and the client's end of it.
func acceptedPair(t *testing.T, account *Account) (*Conn, net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := NewKeeper(account, zerolog.Nop()).Listener(inner, testClass).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return ConnOf(accepted), client
}

// TestNothingIsReadOverHTTP2WhileAWriteWaits lets a client send without reading what it is sent. What it sends is read once it
// reads.
func TestNothingIsReadOverHTTP2WhileAWriteWaits(t *testing.T) {
	const responseBytes = 32 << 20
	server, client := acceptedPair(t, newTestAccount(10, 1<<30))
	require.NoError(t, server.beginHTTP2())
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, responseBytes))
		written <- err
	}()
	first := make([]byte, 1)
	_, err := io.ReadFull(client, first)
	require.NoError(t, err)
	_, err = client.Write([]byte("ping"))
	require.NoError(t, err)
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(server, make([]byte, len("ping")))
		read <- err
	}()
	const moment = 50 * time.Millisecond
	select {
	case <-read:
		t.Fatal("the process reads from a client that does not read")
	case <-time.After(moment):
	}
	_, err = io.CopyN(io.Discard, client, responseBytes-1)
	require.NoError(t, err)
	require.NoError(t, <-written)
	require.NoError(t, <-read)
}

// TestHTTP2IsRecognizedInPieces sends the start of a connection that carries HTTP/2 in two pieces, and that of requests of
// HTTP/1 which begin like it.
func TestHTTP2IsRecognizedInPieces(t *testing.T) {
	for text, want := range map[string]bool{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n": true, "PRINT / HTTP/1.1\r\n": false, "PUT / HTTP/1.1\r\n": false} {
		for cut := 1; cut < len(text); cut++ {
			account := newTestAccount(10, 1<<30)
			server, _ := acceptedPair(t, account)
			head := &headCounter{conn: server}
			require.NoError(t, head.read([]byte(text[:cut])))
			require.NoError(t, head.read([]byte(text[cut:])))
			require.Equal(t, want, server.http2.Load(), "%q cut at %d", text, cut)
		}
	}
}
