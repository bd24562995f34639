package node

import (
	"net/http"
	"testing"
)

// Guards against a true refusal that is not believed because it states its time twice: another
// target must get the request, and the longest time counts.
func TestRefusalWithSeveralTimesIsBelieved(t *testing.T) {
	answer := rawAnswer{bytes: refusalHead(503, notRun, ownID, "Retry-After: 1", "Retry-After: 2", noBody), refused: true}
	w, routes := newRawEnv(t)
	for _, route := range routes {
		if got := sendRaw(t, w, route, answer, "", false); got.status != http.StatusServiceUnavailable {
			t.Errorf("%s: answered %d %q (%v), want 503", route.path, got.status, got.body, got.err)
		}
	}
}
