package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a client that holds a connection and its goroutine for as long as it likes: it
// states no deadline, and its body takes longer than the timeout of the route (5 s).
func TestSlowBodyWithoutDeadlineEnds(t *testing.T) {
	w := newEnvWith(t, newFailureLog(t), func(*testEnv) {})
	c, err := net.Dial("tcp", w.node.FrontAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /stock/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: s\r\nKey: %s\r\nContent-Length: 100\r\n\r\n", goodKey)
	go func() {
		for range 90 {
			time.Sleep(300 * time.Millisecond)
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer after 8 s: %v", err)
	}
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("answered %d, want 408", resp.StatusCode)
	}
}
