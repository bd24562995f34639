package node

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
)

// isMember reports whether the node's view has its own entry.
func (w *testEnv) isMember() bool {
	return w.node.view.selfState().member
}

// Guards against a node that the others ignore for as long as its lease is renewed, because
// another writer removed or replaced its entry among the members.
func TestMemberRegistersAgainWhenItsEntryIsGone(t *testing.T) {
	w, log := newLoggedEnv(t)
	w.until("the node is a member", w.isMember)
	w.store.Remove(w.node.view.self)
	w.until("the entry is gone", func() bool { return log.has("event=enrolled reason=entry_gone") })
	w.until("the node is a member again", w.isMember)
	w.store.Set(w.node.view.self, []byte("somebody"))
	w.until("it is left out", func() bool { return log.rejectionCount(w.node.view.self, "bad_value") == 1 })
	w.until("the node is a member again", w.isMember)
}

// Guards against a node that the others ignore until its next lease, because the store refused
// its registration once.
func TestRefusedRegistrationIsRepeated(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var refused atomic.Bool
	w := newEnvWith(t, log, func(w *testEnv) {
		served := w.kv.Config.Handler
		w.kv.Config.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			if bytes.Contains(body, []byte("keel/members/")) && !refused.Swap(true) {
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			served.ServeHTTP(rw, r)
		})
	})
	w.until("the registration was refused", refused.Load)
	w.until("the node is a member", w.isMember)
}
