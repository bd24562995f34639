package httphead

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
)

// Reader reads checked responses from a connection. From the first fault on, each read fails with it.
type Reader struct {
	in io.Reader
	Scanner
}

// NewReader returns a Reader of the responses on a new connection.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if e := r.Fault(); e != nil {
		return 0, e
	}
	n, err := r.in.Read(p)
	return r.Filter(p[:n], err)
}

// Filter returns what a read that received p and ended with err passes on: all of it, or the bytes
// ahead of a fault. The next read must then return Fault, before it waits for bytes.
func (s *Scanner) Filter(p []byte, err error) (int, error) {
	n, fault := s.Scan(p)
	switch {
	case fault == nil:
		return n, err
	case n > 0:
		return n, nil
	}
	return 0, fault
}

// conn is a connection whose responses are checked.
type conn struct {
	net.Conn
	reader *Reader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

func newConn(c net.Conn) net.Conn { return &conn{c, NewReader(c)} }

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a dial function whose connections check the responses to requests other than HEAD.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
}

// CheckTransport has a transport without a proxy check the responses to requests other than HEAD, also
// of those over TLS. It must be called before the transport is used.
func CheckTransport(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = Checked(dial)
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			c.Close()
			return nil, err
		}
		secured := tls.Client(c, tlsConfig(t, host))
		if err := secured.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		return newConn(secured), nil
	}
}

// tlsConfig returns the TLS settings of a transport for a host.
func tlsConfig(t *http.Transport, host string) *tls.Config {
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	return config
}
