package daemon

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainAcceptsQueuedConnections opens connections before the listener accepts any, then drains it: every queued
// connection is accepted before the listener closes.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	const queued = 20
	l, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	for range queued {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	l.draining.Store(true)
	accepted := 0
	for {
		c, err := l.Accept()
		if err != nil {
			require.ErrorIs(t, err, net.ErrClosed)
			break
		}
		require.NoError(t, c.Close())
		accepted++
		if accepted == 1 {
			go l.Drain()
		}
	}
	require.Equal(t, queued, accepted)
	l.Drain()
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err, "a closed listener refuses connections")
}
