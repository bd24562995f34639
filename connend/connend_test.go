package connend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"
	"time"
)

// peer answers each connection's request before it has read the body, and then ends it.
func peer(t *testing.T, answer string, end func(c *net.TCPConn, in io.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn), req.Body)
			}()
		}
	}()
	return l.Addr().String()
}

const (
	pause = 2 * time.Millisecond
	large = 12 << 20
	part  = "HTTP/1.1 200 OK\r\n\r\npart"
)

func reset(c *net.TCPConn, _ io.Reader) {
	time.Sleep(pause)
	_ = c.SetLinger(0)
}

func closeUnread(*net.TCPConn, io.Reader) { time.Sleep(pause) }

func halfCloseAndReset(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	reset(c, nil)
}

func halfCloseAndHold(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(2 * maxWait)
}

func halfCloseAndRead(c *net.TCPConn, in io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, in)
}

func readAndClose(_ *net.TCPConn, in io.Reader) { _, _ = io.Copy(io.Discard, in) }

// Guards against a reset that the write of a request takes, so that reading the connection shows an
// orderly end: both calls run side by side on one connection.
func TestResetThatAWriteTookIsNotAnEnd(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, io.Reader){"reset": reset, "closed unread": closeUnread, "half closed and reset": halfCloseAndReset} {
		t.Run(name, func(t *testing.T) {
			address := peer(t, part, end)
			orderly, ends := 0, 0
			for range 100 {
				raw, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				c := New(&seenEnds{Conn: raw, ends: &ends})
				new(Request).GotConn(httptrace.GotConnInfo{Conn: c})
				written := make(chan error, 1)
				go func() {
					_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 12582912\r\n\r\n")
					if err == nil {
						_, err = c.Write(make([]byte, large))
					}
					written <- err
				}()
				if _, err := io.Copy(io.Discard, c); err == nil {
					orderly++
				}
				c.Close()
				if err := <-written; err == nil {
					t.Error("the whole request was written")
				}
			}
			t.Logf("%d of 100 reads ended with EOF below", ends)
			if orderly > 0 {
				t.Errorf("%d of 100 resets seen as orderly ends", orderly)
			}
		})
	}
}

// seenEnds counts the reads that end with io.EOF.
type seenEnds struct {
	net.Conn
	ends *int
}

func (c *seenEnds) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		*c.ends++
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *seenEnds) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// Guards against a body that ends with its connection and counts as whole although its peer has not
// taken the request, and against one that counts as cut although it has.
func TestEndOfBodyNeedsDeliveredRequest(t *testing.T) {
	for _, test := range []struct {
		name  string
		end   func(*net.TCPConn, io.Reader)
		sizes []int
		// want is the error of reading the body, nil for a whole one. The HTTP library may close the
		// connection first, or the reader itself meet the reset.
		want error
	}{
		{"reset", reset, []int{large}, errAny},
		{"closed unread", closeUnread, []int{large}, errAny},
		{"half closed and reset", halfCloseAndReset, []int{large}, errAny},
		{"half closed and unread", halfCloseAndHold, []int{large}, ErrUnread},
		{"half closed and read", halfCloseAndRead, []int{0, 10, 1 << 20, large}, nil},
		{"closed after the request", readAndClose, []int{0, 10, 1 << 20, large}, nil},
	} {
		for _, size := range test.sizes {
			t.Run(fmt.Sprint(test.name, " ", size), func(t *testing.T) {
				client := http.Client{Transport: &http.Transport{DialContext: Dial((&net.Dialer{}).DialContext)}}
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+peer(t, part, test.end), io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := client.Do(Track(req))
				if err != nil {
					if test.want == nil {
						t.Fatal(err)
					}
					return // the write failed first
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if test.want == nil && (err != nil || string(body) != "part") {
					t.Errorf("read %q (%v), want the whole body", body, err)
				}
				if test.want != nil && (err == nil || errors.Is(err, io.ErrUnexpectedEOF) || test.want != errAny && !errors.Is(err, test.want)) {
					t.Errorf("read %q (%v), want %v", body, err, test.want)
				}
			})
		}
	}
}

// errAny stands for any error.
var errAny = errors.New("an error")

// Guards against a request that is written to a connection which its peer has ended in order, because
// the end waits for it: the request counts as not sent.
func TestEndOfIdleConnectionDoesNotWait(t *testing.T) {
	address := peer(t, "", func(*net.TCPConn, io.Reader) {})
	dial := Dial((&net.Dialer{}).DialContext)
	c, err := dial(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var next Request
	next.GotConn(httptrace.GotConnInfo{Conn: c})
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the end of a connection whose next request has not begun: %v, want EOF", err)
	}
}

// Guards against a cut body, of a length or in chunks, whose reset a write took and which then counts as
// ended by its peer's own word.
func TestResetOfCutBodyIsNoOrderlyEnd(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 10\r\n\r\npart", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"} {
		for how, end := range map[string]func(*net.TCPConn, io.Reader){"reset": reset, "half closed and reset": halfCloseAndReset} {
			t.Run(name+", "+how, func(t *testing.T) {
				client := http.Client{Transport: &http.Transport{DialContext: Dial((&net.Dialer{}).DialContext), DisableKeepAlives: true}}
				address, orderly := peer(t, "HTTP/1.1 200 OK\r\n"+head, end), 0
				for range 30 {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, io.MultiReader(strings.NewReader(strings.Repeat("x", large))))
					if err != nil {
						t.Fatal(err)
					}
					resp, err := client.Do(Track(req))
					if err != nil {
						continue // the write failed first
					}
					if _, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
						orderly++
					}
					resp.Body.Close()
				}
				if orderly > 0 {
					t.Errorf("%d of 30 resets seen as orderly ends", orderly)
				}
			})
		}
	}
}
