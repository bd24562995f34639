package door

import (
	"errors"
	"fmt"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// noInterface is an interface index that no interface has.
const noInterface = math.MaxInt32

// refuseConnections makes the kernel answer new connections to a listener with a reset, as
// if it were closed, and keep its accept queue and the handshakes in progress. The listener
// is bound to an interface that does not exist, so that no arriving SYN finds it; the
// sockets of begun handshakes are found by their addresses. It requires Linux 5.7, or the
// capability CAP_NET_RAW before.
func refuseConnections(l *net.TCPListener) error {
	var bindErr error
	err := control(l, func(fd int) {
		bindErr = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err := errors.Join(err, bindErr); err != nil {
		return fmt.Errorf("bind the listener to no interface: %w; Linux 5.7 or CAP_NET_RAW is required", err)
	}
	return nil
}

// readable reports whether a socket has data, or a listener a connection in its accept
// queue. It asks the kernel: a timeout of the runtime does not prove that there is none,
// because the runtime polls the kernel when a call starts, and later only if a processor is
// idle. A closed socket is not readable.
func readable(c syscall.Conn) bool {
	ready := false
	err := control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		// An interrupted poll is repeated by the next look.
		ready = n > 0 || errors.Is(err, unix.EINTR)
	})
	return err == nil && ready
}

// hungUp reports whether the peer of a socket has closed its side or reset the connection, also if
// data that arrived before has not been read.
func hungUp(c syscall.Conn) bool {
	gone := false
	err := control(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0
	})
	return err == nil && gone
}

// roundTrip returns the smoothed round-trip time of a connection, or 0 if it is unknown.
func roundTrip(c syscall.Conn) time.Duration {
	var rtt time.Duration
	err := control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}

// maxUnsent is how much the kernel accepts for a connection beyond what the peer has been
// sent, in bytes. Without a limit it is up to net.ipv4.tcp_wmem (4 MB) for each client that
// reads slowly. The kernel tests it for each segment of up to 64 KB, which it fills first.
const maxUnsent = 32 << 10

// limitUnsent limits what the kernel holds for a connection. The option of the listener would
// not do: with multipath TCP, which package net enables, connections don't inherit it.
func limitUnsent(c *net.TCPConn) error {
	var setErr error
	err := control(c, func(fd int) {
		setErr = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	if err := errors.Join(err, setErr); err != nil {
		return fmt.Errorf("limit the unsent bytes of a connection: %w", err)
	}
	return nil
}

// writePoll asks the kernel whether a socket accepts bytes without blocking. It is kept with
// its connection, so that asking for each event of a stream allocates nothing.
type writePoll struct {
	raw   syscall.RawConn
	poll  func(fd uintptr)
	fds   [1]unix.PollFd
	ready bool
}

func newWritePoll(c syscall.Conn) (*writePoll, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	w := &writePoll{raw: raw}
	w.poll = func(fd uintptr) {
		w.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLOUT}
		n, err := unix.Poll(w.fds[:], 0)
		w.ready = err == nil && n > 0
	}
	return w, nil
}

// writable must not be called concurrently with itself.
func (w *writePoll) writable() bool {
	w.ready = false
	return w.raw.Control(w.poll) == nil && w.ready
}

// control calls f with the file descriptor of a socket.
func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
