package target

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startEarly returns the base URL of a target that answers each request before it has read the body and
// then ends the connection.
func startEarly(t *testing.T, answer string, end func(c *net.TCPConn)) (baseURL string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(2 * time.Millisecond)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a part of an answer that is recorded as the result of a call, or as a refusal on which
// the call is sent elsewhere, because the connection is reset while the call is still being written.
func TestEarlyAnswerThatIsResetIsNotBelieved(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset":         func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed unread": func(*net.TCPConn) {},
		"half closed and reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	}
	body := strings.Repeat("x", 12<<20)
	for name, end := range ends {
		for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 500 Failed\r\nConnection: close", "HTTP/1.1 503 Full"} {
			t.Run(fmt.Sprint(name, " ", head[:12]), func(t *testing.T) {
				base := startEarly(t, head+"\r\n\r\na part", end)
				believed := 0
				for range 20 {
					if answer, err := NewService(base).Do(t.Context(), Call{RequestID: "id-1", Method: http.MethodPost, Path: "/hold", Body: []byte(body)}); err == nil {
						believed++
						t.Logf("the call got %d %q", answer.Status, answer.Body)
					}
					_, err := NewEngine(base).Start(t.Context(), Completion{RequestID: "id-1", Prompt: body})
					if errors.Is(err, ErrNotAccepting) {
						believed++
					}
				}
				if believed > 0 {
					t.Errorf("%d of 40 answers believed", believed)
				}
			})
		}
	}
}
