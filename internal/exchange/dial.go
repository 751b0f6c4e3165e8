package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"samphireflow/internal/netfault"
)

const (
	// ackTimeout is the time after which a connection that does not acknowledge what was sent counts as dead. It is
	// far above a round trip with retransmission and below the time in which a caller gives up.
	ackTimeout = time.Second
	// keepAliveAfter is the silence after which a connection is probed by TCP, the shortest that Linux takes.
	keepAliveAfter = time.Second
	keepAliveCount = 2
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDialer returns a dial function whose connections notice that the other side is cut off or silent.
func newDialer(timeout time.Duration) dialFunc {
	return netfault.DialerWith(&net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveAfter, Interval: keepAliveAfter, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	})
}
