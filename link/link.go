// Package link holds the connections between the system's own processes: one
// HTTP/2 connection for each peer, which is replaced as a whole once
// it goes silent, since something between the ends may have lost track of it
// while new connections work.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciakeel/api/keel/v1/keelv1connect"
)

// Options of all links of a process.
type Options struct {
	// DialTimeout bounds the making of a connection. Default 500 ms.
	DialTimeout time.Duration
	// WrapConn, where set, wraps each new connection, for TLS or counting.
	WrapConn func(net.Conn) net.Conn
}

const defaultDialTimeout = 500 * time.Millisecond

// Pool holds the links of one process. It is safe for concurrent use.
type Pool struct {
	options Options
	mu      sync.Mutex
	peers   map[string]*Peer
	sent    atomic.Int64
	got     atomic.Int64
}

// NewPool returns a pool without links.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	return &Pool{options: o, peers: map[string]*Peer{}}
}

// Peer returns the link to the process at url, such as http://10.0.0.7:4100.
func (p *Pool) Peer(url string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[url]
	if peer == nil {
		peer = &Peer{pool: p, url: url}
		peer.clients.Store(peer.connect())
		p.peers[url] = peer
	}
	return peer
}

// Bytes returns the bytes sent and received over all links.
func (p *Pool) Bytes() (sent, received int64) {
	return p.sent.Load(), p.got.Load()
}

// Clients are the services of a peer over one connection.
type Clients struct {
	Agent     keelv1connect.AgentServiceClient
	Config    keelv1connect.ConfigServiceClient
	transport *http.Transport
}

// Peer is the link to one process.
type Peer struct {
	pool    *Pool
	url     string
	clients atomic.Pointer[Clients]
	renewed atomic.Int64
}

// URL returns the peer's address.
func (p *Peer) URL() string {
	return p.url
}

// Clients returns the clients over the peer's current connection.
func (p *Peer) Clients() *Clients {
	return p.clients.Load()
}

// Reconnect gives the peer a new connection if c is still its current one.
// Requests on the old connection run on until they end or are canceled; no
// new one joins them there.
func (p *Peer) Reconnect(c *Clients) {
	fresh := p.connect()
	if !p.clients.CompareAndSwap(c, fresh) {
		return
	}
	p.renewed.Add(1)
	c.transport.CloseIdleConnections()
}

// Reconnects returns how often the connection was replaced.
func (p *Peer) Reconnects() int64 {
	return p.renewed.Load()
}

func (p *Peer) connect() *Clients {
	dialer := net.Dialer{Timeout: p.pool.options.DialTimeout}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: &protocols,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return p.pool.wrap(conn), nil
		},
		// An HTTP/2 ping finds a dead connection that carries nothing.
		HTTP2:              &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second},
		DisableCompression: true,
	}
	client := &http.Client{Transport: transport}
	return &Clients{
		Agent:     keelv1connect.NewAgentServiceClient(client, p.url),
		Config:    keelv1connect.NewConfigServiceClient(client, p.url),
		transport: transport,
	}
}

func (p *Pool) wrap(conn net.Conn) net.Conn {
	if p.options.WrapConn != nil {
		conn = p.options.WrapConn(conn)
	}
	return &countedConn{Conn: conn, pool: p}
}

// countedConn counts the bytes on the wire, headers and all.
type countedConn struct {
	net.Conn
	pool *Pool
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.got.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sent.Add(int64(n))
	return n, err
}

// NewServer returns an HTTP server for the system's own messages and for
// ordinary HTTP on one port.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: 10 * time.Second,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 10000, SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second},
	}
}
