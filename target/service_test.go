package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a call whose answer, without length or chunks, is truncated by a crash of the
// service and recorded as its complete answer.
func TestAnswerWithoutLengthNeedsALivingService(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		crashes bool
		want    string
	}{
		"whole":                {"HTTP/1.1 200 OK\r\n\r\nbox held", false, "box held"},
		"whole, by HTTP/1.0":   {"HTTP/1.0 200 OK\r\n\r\nbox held", false, "box held"},
		"truncated":            {"HTTP/1.1 200 OK\r\n\r\nbox h", true, ""},
		"sized, then a crash":  {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbox held", true, "box held"},
		"sized, truncated":     {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbox h", true, ""},
		"in chunks, truncated": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbox h\r\n", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(conn, test.answer)
				if test.crashes {
					listener.Close()
				}
				conn.Close()
			}()
			answer, err := NewService("http://"+listener.Addr().String()).Do(t.Context(), Call{RequestID: "id-1", Method: http.MethodPost, Path: "/hold"})
			if (err == nil) != (test.want != "") || string(answer.Body) != test.want {
				t.Errorf("got %q (%v), want %q", answer.Body, err, test.want)
			}
		})
	}
}
