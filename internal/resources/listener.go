package resources

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitBuffers bounds what the kernel keeps, unread or unsent, for each connection that a listener will accept, also for those
// that wait to be accepted.
func LimitBuffers(l syscall.Conn) error {
	control, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = control.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBuffer)
		if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, writeBuffer); failed == nil {
			failed = err
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// Listener returns a listener whose connections are in the account. It closes a connection at once for which there is no room.
func (k *Keeper) Listener(next net.Listener, class Class) net.Listener {
	return &listener{Listener: next, keeper: k, class: class}
}

type listener struct {
	net.Listener
	keeper *Keeper
	class  Class
}

// Accept returns the next connection for which there is room, a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		entry, victims := l.keeper.account.Open(l.class.Name, func() { _ = inner.Close() }, time.Now())
		closeAll(victims)
		if entry == nil {
			_ = inner.Close()
			continue
		}
		return &Conn{Conn: inner, keeper: l.keeper, entry: entry}, nil
	}
}
