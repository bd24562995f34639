// Package cut implements a server that ends its connections in the middle of its responses.
package cut

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// End is how a connection ends.
type End string

// The ends. Stall waits for a while with the connection open, then closes it. Hold waits until the
// peer has closed it.
const (
	Close End = "close"
	Reset End = "reset"
	Stall End = "stall"
	Hold  End = "hold"
)

// stallTime is how long a response stops before its connection is closed.
const stallTime = 20 * time.Millisecond

// Response is what is sent of the response to a request.
type Response struct {
	// Text is a whole response, status line and header included.
	Text string
	// Bytes is how many bytes of Text are sent before the connection ends. A response of which
	// all bytes are sent leaves the connection open, unless EndsWhole is set.
	Bytes     int
	EndsWhole bool
	End       End
	// Closed is called with End Hold once the peer has closed the connection; nil is not.
	Closed func()
}

// Whole returns a response that is not cut. Without a length or chunks it ends its connection.
func Whole(text string, untilClose bool) Response {
	return Response{Text: text, Bytes: len(text), EndsWhole: untilClose, End: Close}
}

// Server answers requests with raw bytes.
type Server struct {
	// Address is IP:PORT.
	Address string
	respond func(req *http.Request, body []byte) Response
	// received counts the requests.
	received atomic.Int64
}

// maxTries is how often Call makes a call at most.
const maxTries = 20

// Call makes a call, again until the server has received one, and returns the result of the last: a call
// whose connection could not be opened in time meets no response.
func (s *Server) Call(call func() error) (err error) {
	before := s.received.Load()
	for tries := 0; tries < maxTries && s.received.Load() == before; tries++ {
		err = call()
	}
	return err
}

// Start returns a server that answers each request with what respond returns, until the test ends.
func Start(t testing.TB, respond func(req *http.Request, body []byte) Response) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{Address: l.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.received.Add(1)
		r := s.respond(req, body)
		if _, err := io.Copy(conn, bytes.NewBufferString(r.Text[:r.Bytes])); err != nil {
			return
		}
		if r.Bytes == len(r.Text) && !r.EndsWhole {
			continue
		}
		switch r.End {
		case Reset:
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		case Stall:
			time.Sleep(stallTime)
		case Hold:
			_, _ = in.ReadByte()
			if r.Closed != nil {
				r.Closed()
			}
		}
		return
	}
}
