// Package link manages the connections between the system's own processes: one
// HTTP/2 connection per peer. A caller that gets no response replaces the whole
// connection, since a device on the path may have lost its state for this
// connection while new ones work.
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

// Options apply to all connections of a Pool.
type Options struct {
	// DialTimeout limits the time to establish a connection. Default 500 ms.
	DialTimeout time.Duration
	// WrapConn, if set, wraps each new connection, for TLS or counting.
	WrapConn func(net.Conn) net.Conn
}

const defaultDialTimeout = 500 * time.Millisecond

// Pool holds the peers of one process. It is safe for concurrent use.
type Pool struct {
	options       Options
	mu            sync.Mutex
	peers         map[string]*Peer
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// NewPool returns a pool without peers.
func NewPool(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	return &Pool{options: o, peers: map[string]*Peer{}}
}

// Peer returns the peer at url, such as http://10.0.0.7:4100. It is created on
// first use; the connection is established by the first request.
func (p *Pool) Peer(url string) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[url]
	if peer == nil {
		peer = &Peer{pool: p, url: url}
		peer.clients.Store(peer.newClients())
		p.peers[url] = peer
	}
	return peer
}

// Bytes returns the number of bytes sent and received over all connections.
func (p *Pool) Bytes() (sent, received int64) {
	return p.sentBytes.Load(), p.receivedBytes.Load()
}

// Clients are the RPC clients of a peer's services, which share one connection.
type Clients struct {
	Agent     keelv1connect.AgentServiceClient
	Config    keelv1connect.ConfigServiceClient
	transport *http.Transport
}

// Peer is another process of the system and the connection to it.
type Peer struct {
	pool       *Pool
	url        string
	clients    atomic.Pointer[Clients]
	reconnects atomic.Int64
}

// URL returns the peer's address.
func (p *Peer) URL() string {
	return p.url
}

// Clients returns the clients over the peer's current connection.
func (p *Peer) Clients() *Clients {
	return p.clients.Load()
}

// Reconnect replaces the peer's connection if it is still the one of old, so that
// several callers that see the same failure replace it once. Requests on the old
// connection continue until they end or are canceled; new ones use the new
// connection.
func (p *Peer) Reconnect(old *Clients) {
	replacement := p.newClients()
	if !p.clients.CompareAndSwap(old, replacement) {
		return
	}
	p.reconnects.Add(1)
	old.transport.CloseIdleConnections()
}

// Reconnects returns the number of times the connection was replaced.
func (p *Peer) Reconnects() int64 {
	return p.reconnects.Load()
}

func (p *Peer) newClients() *Clients {
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
			return p.pool.wrapConn(conn), nil
		},
		// HTTP/2 pings detect a dead connection that is idle.
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

func (p *Pool) wrapConn(conn net.Conn) net.Conn {
	if p.options.WrapConn != nil {
		conn = p.options.WrapConn(conn)
	}
	return &countingConn{Conn: conn, pool: p}
}

// countingConn counts the bytes sent and received, including headers.
type countingConn struct {
	net.Conn
	pool *Pool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pool.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.pool.sentBytes.Add(int64(n))
	return n, err
}

// NewServer returns an HTTP server that accepts unencrypted HTTP/2, for the
// system's internal RPCs, and HTTP/1 on the same port.
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
