package node

import (
	"net/http"
	"time"
)

// Bounds of the listeners. They outlast the limits that the configuration sets
// on clients, which may change while connections are open.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}
