package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against streams joined from two software versions: a client sends a stream again from its
// beginning under the same ID, at another entry, and resumes it at one that knows the first send alone.
func TestStreamSentAgainBeginsAtItsVersion(t *testing.T) {
	w := newVersionEnv(t)
	w.awaitMark("[v1 v1.1]")
	peer := w.startPeer("n1")
	w.until("streams begin at both versions", func() bool {
		return len(w.node.view.beginAt("lm", true, time.Now())) == 2 && len(peer.view.beginAt("lm", true, time.Now())) == 2
	})
	const streams = 8
	id := func(i int) string { return fmt.Sprintf("sent-twice-%d", i) }
	for i := range streams {
		w.beginAndAbandon(w.node, streamRequest(id(i), i))
	}
	time.Sleep(4 * minUpdateInterval)
	for i := range streams {
		// The part of another prompt draws the second send to another target.
		w.beginAndAbandon(peer, streamRequest(id(i), i+100))
		r := streamRequest("resumed-"+id(i), i)
		r.Resumes, r.LastEventID = id(i), "2"
		if a := w.exchange(w.node, r); a.err != nil || a.status != http.StatusOK || a.body != restOfStream() {
			t.Errorf("stream %d: status %d, error %v: %s", i, a.status, a.err, a.body)
		}
	}
	w.checkContinuations(streams)
}
