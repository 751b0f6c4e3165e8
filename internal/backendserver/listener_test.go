package backendserver

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := newLimitListener(inner, 1, time.Millisecond)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		return conn
	}
	first := dial()
	defer func() { _ = first.Close() }()
	acceptedFirst := <-accepted
	refused := dial()
	defer func() { _ = refused.Close() }()
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err, "the connection is closed without a response")

	require.NoError(t, acceptedFirst.Close())
	_ = acceptedFirst.Close()
	next := dial()
	defer func() { _ = next.Close() }()
	acceptedNext := <-accepted
	_, err = next.Write([]byte("x"))
	require.NoError(t, err)
	buffer := make([]byte, 1)
	_, err = acceptedNext.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "x", string(buffer))
}
