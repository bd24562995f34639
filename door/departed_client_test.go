package door

import (
	"io"
	"net"
	"testing"
)

// Guards against a client that counts as connected although it has left, as nobody has read that yet.
func TestDepartedClientIsSeenBeforeItIsRead(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closes": (*net.TCPConn).Close,
		"closes with a part of a request on its way": func(c *net.TCPConn) error {
			_, _ = io.WriteString(c, "GET ")
			return c.Close()
		},
		"resets": func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := (&connSet{open: map[*conn]struct{}{}}).add(accepted)
			defer c.Close()
			if c.ClientLeft() {
				t.Error("a connected client counts as one that left")
			}
			if err := leave(client.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if !c.ClientLeft() {
				t.Error("a client that left counts as connected")
			}
		})
	}
}
