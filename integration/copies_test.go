package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// copier stands before a target and sends answers too many: a refusal or a copy of the target's last
// whole answer, ahead of each answer on a connection that has carried one, and after each answer.
type copier struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	last []byte
	sent int
}

func newCopier(t *testing.T, target string) *copier {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	c := &copier{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

func (c *copier) addr() string { return c.listener.Addr().String() }

func (c *copier) serve(client net.Conn) {
	defer client.Close()
	in := bufio.NewReader(client)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if answered {
			c.sendCopy(client)
		}
		if c.forward(client, req) != nil {
			return
		}
		c.sendCopy(client)
		// The answer that ends a connection is followed by copies all the same.
		_ = client.SetReadDeadline(time.Now().Add(time.Second))
	}
}

// forward sends a request on and the answer back as it comes.
func (c *copier) forward(client net.Conn, req *http.Request) error {
	target, err := net.Dial("tcp", c.target)
	if err != nil {
		return err
	}
	defer target.Close()
	if err := req.Write(target); err != nil {
		return err
	}
	var answer bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(target, io.MultiWriter(client, &answer))), req)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = answer.Bytes()
	return nil
}

func (c *copier) sendCopy(client net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	extra := c.last
	if c.sent%2 == 0 || extra == nil {
		extra = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}
	_, _ = client.Write(extra)
}

// copies returns how many answers too many all targets have sent.
func (f *fleet) copies() (n int) {
	for _, c := range f.copiers {
		c.mu.Lock()
		n += c.sent
		c.mu.Unlock()
	}
	return n
}

// describeCopies says whether targets have sent answers too many; how many depends on timing.
func (f *fleet) describeCopies(least int) string {
	if n := f.copies(); n < least {
		return fmt.Sprintf("only %d\n", n)
	}
	return fmt.Sprintf("at least %d\n", least)
}
