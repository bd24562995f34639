package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against sound targets that count as dead because clients left in the middle of their
// streams: requests of others were then refused.
func TestLeavingClientsDoNotCountAgainstTargets(t *testing.T) {
	w := newEnv(t)
	for _, r := range w.runners {
		// The entry waits for the next event while the client leaves.
		r.SetPace(50 * time.Millisecond)
	}
	for i := range 40 {
		w.beginAndAbandon(w.node, streamRequest(fmt.Sprintf("left-%d", i), i))
	}
	for i := range 4 {
		if a := w.exchange(w.node, streamRequest(fmt.Sprintf("stays-%d", i), i)); a.status != http.StatusOK || a.body != completeStream() {
			t.Errorf("request %d: status %d: %s", i, a.status, a.body)
		}
	}
}
