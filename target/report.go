package target

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"acaciakeel/httpbody"
	"acaciakeel/httphead"
)

// ErrOldConnection is returned if the engine answered a load report only on a connection that has
// carried an earlier one. It is alive, but the answer may be a copy of the earlier report.
var ErrOldConnection = errors.New("the engine answered only on a connection that has carried an earlier load report")

// aliveTime is the time before the deadline of a load report in which the engine is also asked on
// the connection of the report before.
const aliveTime = 350 * time.Millisecond

// Load returns the engine's load report. Reports name no request, so each uses a new connection,
// which can't bring a copy of an earlier one.
//
// An engine that accepts connections late may still answer on the connection of the report
// before. If only that one brings an answer before ctx ends, Load returns ErrOldConnection. A
// refused connection is an error at once.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := e.lastReport.Swap(nil)
	alive := make(chan error, 1)
	checkLast := func() { alive <- last.check(ctx, e.baseURL) }
	timer := time.AfterFunc(timeToCheck(ctx), checkLast)
	answer := e.readNewReport(ctx)
	if timer.Stop() && answer.unanswered() {
		checkLast()
	}
	if !answer.unanswered() {
		last.close()
		e.lastReport.Store(answer.conn)
		return answer.load, answer.err
	}
	if <-alive != nil {
		last.close()
		return Load{}, answer.err
	}
	e.lastReport.Store(last)
	return Load{}, ErrOldConnection
}

// timeToCheck returns how long to wait for a report before its engine is asked on the last connection.
func timeToCheck(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return math.MaxInt64
	}
	return time.Until(deadline) - aliveTime
}

// reportAnswer is the result of a load report on a new connection.
type reportAnswer struct {
	// conn is nil if err is set.
	conn *reportConn
	load Load
	// responded is set once the header of a response has arrived.
	responded bool
	err       error
}

// unanswered reports whether the engine neither responded nor refused the connection.
func (a reportAnswer) unanswered() bool {
	return a.err != nil && !a.responded && !errors.Is(a.err, syscall.ECONNREFUSED)
}

func (e *Engine) readNewReport(ctx context.Context) reportAnswer {
	conn, err := e.dialReport(ctx)
	if err != nil {
		return reportAnswer{err: sendError(err)}
	}
	load, responded, err := conn.read(ctx, e.baseURL)
	if err != nil {
		conn.close()
		return reportAnswer{responded: responded, err: err}
	}
	return reportAnswer{conn: conn, load: load}
}

// reportConn is a connection for load reports. A nil reportConn has ended.
type reportConn struct {
	conn net.Conn
	// bound limits the bytes that in may still read.
	bound *io.LimitedReader
	in    *bufio.Reader
}

func (e *Engine) dialReport(ctx context.Context) (*reportConn, error) {
	req, err := newReportRequest(ctx, e.baseURL)
	if err != nil {
		return nil, err
	}
	conn, err := e.dial(ctx, "tcp", hostPort(req.URL))
	if err != nil {
		return nil, err
	}
	bound := &io.LimitedReader{R: httphead.NewReader(conn)}
	return &reportConn{conn: conn, bound: bound, in: bufio.NewReader(bound)}, nil
}

// dialerFor returns the function that opens connections to a base URL. It sets no time.
func dialerFor(baseURL string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if strings.HasPrefix(baseURL, "https:") {
		return (&tls.Dialer{}).DialContext
	}
	return (&net.Dialer{}).DialContext
}

func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	return net.JoinHostPort(u.Hostname(), u.Scheme)
}

func newReportRequest(ctx context.Context, baseURL string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/load", nil)
}

var errReportConnEnded = errors.New("the connection of the load report before has ended or is out of step")

// read requests a load report, and reports whether the header of a response has arrived.
func (c *reportConn) read(ctx context.Context, baseURL string) (l Load, responded bool, err error) {
	req, err := newReportRequest(ctx, baseURL)
	if err != nil {
		return Load{}, false, err
	}
	defer context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(0, 1)) })()
	if err := req.Write(c.conn); err != nil {
		return Load{}, false, fmt.Errorf("send to the target: %w", err)
	}
	c.bound.N = maxHeaderBytes
	resp, err := http.ReadResponse(c.in, req)
	for err == nil && isInformational(resp.StatusCode) {
		resp, err = http.ReadResponse(c.in, req)
	}
	if err != nil {
		return Load{}, false, fmt.Errorf("read the target's answer: %w", err)
	}
	c.bound.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return Load{}, true, readStatusError(resp)
	}
	if err := httpbody.Decode(resp, maxReportBytes, &l); err != nil {
		return Load{}, true, fmt.Errorf("read the target's answer: %w", err)
	}
	return l, true, nil
}

func isInformational(status int) bool {
	return status >= 100 && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// check returns nil if the engine answers on a connection that has carried a load report. An
// earlier answer that waits there is none.
func (c *reportConn) check(ctx context.Context, baseURL string) error {
	if c == nil || !c.inStep() {
		return errReportConnEnded
	}
	_, _, err := c.read(ctx, baseURL)
	return err
}

// inStep reports whether the connection is open and has nothing to read.
func (c *reportConn) inStep() bool {
	conn := c.conn
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok || c.in.Buffered() > 0 {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

func (c *reportConn) close() {
	if c != nil {
		_ = c.conn.Close()
	}
}
