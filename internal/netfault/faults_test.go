package netfault

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer starts a server that sends back what it receives.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 16)
				for {
					n, err := accepted.Read(buffer)
					if err != nil {
						return
					}
					_, _ = accepted.Write(buffer[:n])
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestCutHoldsBackDataUntilHealed(t *testing.T) {
	faults := Enable()
	t.Cleanup(func() { active.Store(nil) })
	addr := echoServer(t)
	c, err := Dialer(time.Second)(context.Background(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	faults.Cut([]string{addr})
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	dialCtx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = Dialer(time.Minute)(dialCtx, "tcp", addr)
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "dial", op.Op)
	require.Empty(t, written)
	faults.Cut(nil)
	require.NoError(t, <-written)
	buffer := make([]byte, 1)
	_, err = c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "x", string(buffer))
}

func TestCloseUnblocksAWriteOnACutLink(t *testing.T) {
	faults := Enable()
	t.Cleanup(func() { active.Store(nil) })
	addr := echoServer(t)
	c, err := Dialer(time.Second)(context.Background(), "tcp", addr)
	require.NoError(t, err)
	faults.Cut([]string{addr})
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	require.NoError(t, c.Close())
	require.Error(t, <-written)
}
