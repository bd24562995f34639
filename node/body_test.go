package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A client sends a head and half of a body, and its time ends. It read 400, which
// it doesn't repeat, and only once the rest had come. It must read at once that
// nothing ran, and that the connection, which has half a body on it, ends.
func TestBodyThatIsLateIsAPromise(t *testing.T) {
	w := newWorld(t)
	for _, framing := range []struct{ header, half string }{
		{"Content-Length: 10", "half "},
		{"Transfer-Encoding: chunked", "5\r\nhalf \r\n"},
	} {
		t.Run(framing.header, func(t *testing.T) {
			c, err := dial(w.node)
			if err != nil {
				t.Fatal(err)
			}
			defer c.conn.Close()
			fmt.Fprintf(c.conn, "POST /hold/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\nKey: %s\r\nDeadline-Ms: 100\r\n%s\r\n\r\n%s",
				goodKey, framing.header, framing.half)
			// The rest never comes: an answer that waits for it fails by this bound.
			_ = c.conn.SetReadDeadline(time.Now().Add(patience))
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusRequestTimeout || !resp.Close || err != nil {
				t.Errorf("answered %d %s, connection to close %v (%v)", resp.StatusCode, body, resp.Close, err)
			}
			if _, err := bufio.NewReader(c.in).ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v, want its plain end", err)
			}
		})
	}
	if n := len(w.ran(w.desks)); n != 0 {
		t.Errorf("%d runs", n)
	}
}
