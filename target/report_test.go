package target

import (
	"bufio"
	"context"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const testReport = `{"boot_id":"b","weights_version":"v","running":3,"waiting":0}`

// reportEngine answers load reports until it is silent.
type reportEngine struct {
	listener net.Listener
	silent   atomic.Bool
	// surplus follows the first report on each connection, in one segment with it if together is
	// set. sent receives a value once it was written.
	surplus  string
	together bool
	sent     chan struct{}
}

func (r *reportEngine) start(t *testing.T) *Engine {
	t.Helper()
	var err error
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.listener.Close() })
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return NewEngine("http://" + r.listener.Addr().String())
}

func (r *reportEngine) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if r.silent.Load() {
			continue
		}
		report, surplus := lateResponse(http.StatusOK, testReport), ""
		if n == 0 {
			surplus = r.surplus
		}
		if r.together {
			report, surplus = report+surplus, ""
		}
		_, _ = io.WriteString(conn, report)
		_, _ = io.WriteString(conn, surplus)
		if r.sent != nil {
			r.sent <- struct{}{}
		}
	}
}

// loadAfter returns the error of a load report that follows a successful one and what happens
// between the two.
func loadAfter(t *testing.T, e *Engine, happens func()) error {
	t.Helper()
	if _, err := e.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	happens()
	ctx, cancel := context.WithTimeout(t.Context(), aliveTime+50*time.Millisecond)
	defer cancel()
	_, err := e.Load(ctx)
	return err
}

// Guards against a copy of an earlier report that is taken for a sign that a silent engine is alive.
func TestEarlierReportIsNoSignOfLife(t *testing.T) {
	for name, together := range map[string]bool{"with the report": true, "after the report": false} {
		t.Run(name, func(t *testing.T) {
			r := reportEngine{surplus: lateResponse(http.StatusOK, testReport), together: together, sent: make(chan struct{}, 1)}
			err := loadAfter(t, r.start(t), func() {
				<-r.sent
				r.silent.Store(true)
			})
			if !isTimeout(err) {
				t.Errorf("the load report of a silent engine returned %v", err)
			}
		})
	}
}

// isTimeout reports whether a call ended at its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against an engine that has closed its listener and is taken for one that accepts late.
func TestRefusedReportIsAnErrorAtOnce(t *testing.T) {
	var r reportEngine
	err := loadAfter(t, r.start(t), func() { r.listener.Close() })
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the load report of an engine without a listener returned %v", err)
	}
}

// Guards against load reports that are requested without TLS from an engine whose URL names it.
func TestLoadReportUsesTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	_, err := NewEngine(server.URL).Load(t.Context())
	var unknown x509.UnknownAuthorityError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v, want the error of an unknown certificate", err)
	}
}

func BenchmarkLoadReport(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, testReport)
	}))
	defer server.Close()
	engine := NewEngine(server.URL)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := engine.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
