package netfault

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer answers each connection with what it receives.
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

func TestCutHoldsBytesBackUntilHealed(t *testing.T) {
	faults := Enable()
	t.Cleanup(func() { enabled.Store(nil) })
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
	dialed, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = Dialer(time.Minute)(dialed, "tcp", addr)
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

func TestCloseEndsAWaitAtACutLink(t *testing.T) {
	faults := Enable()
	t.Cleanup(func() { enabled.Store(nil) })
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
