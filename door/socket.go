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

// control calls f with the file descriptor of a socket.
func control(c syscall.Conn, f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
