package daemon

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainAcceptsWhatWaits fills the queue of a listener that nobody accepts from and then drains it: every
// connection in the queue is accepted before the listener closes.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	const waiting = 20
	l, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	for range waiting {
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
	require.Equal(t, waiting, accepted)
	l.Drain()
	_, err = net.Dial("tcp", l.Addr().String())
	require.Error(t, err, "a closed listener takes no connection")
}
