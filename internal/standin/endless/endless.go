// Package endless implements a target whose responses never end.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Response is a response without an end: First, then Repeated until the caller closes the
// connection.
type Response struct {
	Name     string
	First    string
	Repeated string
	// Slow sends one byte at a time.
	Slow bool
	// Part is what has no end.
	Part Part
}

// Part is a part of a response.
type Part int

// Header stands for the header or for what comes in its place, Body and FailedBody for the bodies
// of responses with status 200 and 500.
const (
	Header Part = iota
	Body
	FailedBody
)

const (
	okStatus     = "HTTP/1.1 200 OK\r\n"
	failedStatus = "HTTP/1.1 500 Failed\r\n"
	// sized announces a body of a terabyte.
	sized   = "Content-Length: 1099511627776\r\n\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// Responses returns the responses without an end, with bodies that continue bodyStart, the
// beginning of a string within a JSON value.
func Responses(bodyStart string) []Response {
	text := strings.Repeat("a", 1024)
	chunk := "400\r\n" + text + "\r\n"
	firstChunk := func(status string) string { return status + chunked + hexLen(bodyStart) + bodyStart + "\r\n" }
	return []Response{
		{Name: "header_line", First: okStatus + "X: ", Repeated: text},
		{Name: "header_lines", First: okStatus, Repeated: "X: " + text + "\r\n"},
		{Name: "informational_responses", Repeated: "HTTP/1.1 103 Early Hints\r\nX: " + text + "\r\n\r\n"},
		{Name: "no_status_line", Repeated: text},
		{Name: "body", First: okStatus + sized + bodyStart, Repeated: text, Part: Body},
		{Name: "body_status_500", First: failedStatus + sized + bodyStart, Repeated: text, Part: FailedBody},
		{Name: "chunks", First: firstChunk(okStatus), Repeated: chunk, Part: Body},
		{Name: "chunks_status_500", First: firstChunk(failedStatus), Repeated: chunk, Part: FailedBody},
		{Name: "until_close", First: okStatus + "\r\n" + bodyStart, Repeated: text, Part: Body},
		{Name: "until_close_status_500", First: failedStatus + "\r\n" + bodyStart, Repeated: text, Part: FailedBody},
		{Name: "slow_header", First: okStatus + "X: ", Repeated: "a", Slow: true},
		{Name: "slow_body", First: okStatus + sized + bodyStart, Repeated: "a", Slow: true, Part: Body},
		{Name: "slow_body_status_500", First: failedStatus + sized + bodyStart, Repeated: "a", Slow: true, Part: FailedBody},
	}
}

func hexLen(s string) string {
	const digits = "0123456789abcdef"
	n := len(s)
	return string([]byte{digits[n>>8&15], digits[n>>4&15], digits[n&15]}) + "\r\n"
}

const (
	// maxSent is the number of bytes after which a target sends nothing more and waits for the
	// caller to close the connection, which bounds the memory of a caller without limits.
	maxSent = 24 << 20
	// sendInterval separates the bytes of a slow response.
	sendInterval = 2 * time.Millisecond
)

// Target sends a response without an end on each connection.
type Target struct {
	Address string
	// closed receives a value for each connection that the caller has closed.
	closed chan struct{}
}

// Start returns a target that sends r, until the test ends.
func Start(t testing.TB, r Response) *Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &Target{Address: l.Addr().String(), closed: make(chan struct{}, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(conn, r)
		}
	}()
	return target
}

func (t *Target) serve(conn net.Conn, r Response) {
	defer func() { t.closed <- struct{}{} }()
	defer conn.Close()
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if _, err := io.WriteString(conn, r.First); err != nil {
		return
	}
	for sent := 0; sent < maxSent; sent += len(r.Repeated) {
		if _, err := io.WriteString(conn, r.Repeated); err != nil {
			return
		}
		if r.Slow {
			time.Sleep(sendInterval)
		}
	}
	_, _ = io.Copy(io.Discard, in)
}

// Meter counts the bytes that the connections of a caller have read.
type Meter struct{ read atomic.Int64 }

// Read returns the number of bytes read so far.
func (m *Meter) Read() int64 { return m.read.Load() }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function whose connections are counted.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{conn, m}, nil
	}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.read.Add(int64(n))
	return n, err
}

// closeTimeout ends the wait for a connection that stays open.
const closeTimeout = 10 * time.Second

// Check executes a call of a target that sends r. The call must fail, close its connection and read
// at most a number of bytes from it.
func Check(t *testing.T, r Response, most int64, call func(m *Meter, address string) error) {
	t.Helper()
	if r.Slow {
		t.Parallel()
	}
	target := Start(t, r)
	var meter Meter
	if err := call(&meter, target.Address); err == nil {
		t.Error("the call succeeded")
	}
	select {
	case <-target.closed:
	case <-time.After(closeTimeout):
		t.Error("the connection stays open")
	}
	if read := meter.Read(); read > most {
		t.Errorf("%d bytes were read, want at most %d", read, most)
	}
}
