package node

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against a client that makes sound targets count as failed: it has the entry leave out the
// ID of its requests, which its targets then refuse without one.
func TestClientCannotLeaveOutTheID(t *testing.T) {
	w := newEnvWith(t, newFailureLog(t), func(*testEnv) {})
	for i := range 8 {
		got := w.sendTo(w.node, "POST", "/hold/x", "body", fmt.Sprintf("named-%d", i), map[string]string{"Connection": "Request-Id"})
		if got.status != http.StatusOK {
			t.Errorf("request %d: %d %q", i, got.status, got.body)
		}
	}
	for i := range 8 {
		got := w.sendTo(w.node, "POST", "/hold/x", "body", fmt.Sprintf("other-%d", i), nil)
		if got.status != http.StatusOK {
			t.Errorf("request %d of another client: %d %q", i, got.status, got.body)
		}
	}
}

// Guards against a client that makes sound targets count as failed: the ID of its requests looks
// like a status line.
func TestIDLikeAStatusLineIsAnswered(t *testing.T) {
	w := newEnvWith(t, newFailureLog(t), func(*testEnv) {})
	for i := range 8 {
		got := w.sendTo(w.node, "POST", "/hold/x", "body", fmt.Sprintf("HTTP/1.1 200 %d", i), nil)
		if got.status != http.StatusOK {
			t.Errorf("request %d: %d %q", i, got.status, got.body)
		}
	}
	for i := range 8 {
		got := w.sendTo(w.node, "POST", "/hold/x", "body", fmt.Sprintf("other-%d", i), nil)
		if got.status != http.StatusOK {
			t.Errorf("request %d of another client: %d %q", i, got.status, got.body)
		}
	}
}
