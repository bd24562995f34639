package node

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the listeners. They outlast the limits that the configuration sets
// on clients, which may change while connections are open.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

// door is one address that the node serves.
type door struct {
	server  *http.Server
	address string
	idle    *idleConns
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func listen(address string, s *http.Server, c *clients) (door, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return door{}, fmt.Errorf("listen: %w; another process may hold the port", err)
	}
	if c != nil {
		listener = clientListener{Listener: listener, clients: c}
	}
	d := door{server: s, address: listener.Addr().String(), idle: &idleConns{conns: map[net.Conn]bool{}}}
	s.ConnState = d.idle.note
	go func() { _ = s.Serve(listener) }()
	return d, nil
}

// idleConns knows a server's connections on which no request is being served.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		i.conns[c] = true
		return
	}
	delete(i.conns, c)
}

// idleEnd is how long an idle connection may still bring a request at a stop.
const idleEnd = 50 * time.Millisecond

// end lets the idle connections time out. A server that closes them itself may
// do so when the bytes of a request have just been read and it does not know it
// yet: the client has sent a whole request and gets nothing. A read that times
// out has read nothing, so here the request is either served or never begun.
func (i *idleConns) end() {
	i.mu.Lock()
	for c := range i.conns {
		// A connection that fails here has ended already.
		_ = c.SetReadDeadline(time.Now().Add(idleEnd))
	}
	i.mu.Unlock()
	time.Sleep(2 * idleEnd)
}
