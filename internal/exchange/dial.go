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
	// ackTimeout is the time after which TCP closes a connection whose sent bytes are not acknowledged. It is far above
	// a round trip with retransmissions and below the timeouts of callers.
	ackTimeout = time.Second
	// keepAliveIdle is the idle time after which TCP sends keep-alive probes, and the time between probes. It is the
	// shortest that Linux accepts.
	keepAliveIdle = time.Second
	// keepAliveCount is the number of unanswered probes after which the connection is closed.
	keepAliveCount = 2
	// readBuffer is the size of the kernel's receive buffer, in bytes, and longReadBuffer that while a long response is read, if
	// there is memory for it. What waits there while a caller does not read counts to the instance's memory.
	readBuffer     = 32 << 10
	longReadBuffer = 128 << 10
	// writeBuffer is the size of the kernel's send buffer, in bytes. What waits there while a server does not read a long body
	// counts to the instance's memory. It fills a round trip of 3 ms at 80 Mbit/s.
	writeBuffer = 32 << 10
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newDialer returns a dial function whose connections fail soon after the other side becomes unreachable.
func newDialer(timeout time.Duration) dialFunc {
	return netfault.DialerWith(&net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
				for option, bytes := range map[int]int{unix.SO_RCVBUF: readBuffer, unix.SO_SNDBUF: writeBuffer} {
					if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes); failure == nil {
						failure = err
					}
				}
			})
			if err != nil {
				return err
			}
			return failure
		},
	})
}
