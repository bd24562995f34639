package node

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// copyPoint is when a target sends the copy of an early refusal.
type copyPoint string

const (
	// withRefusal is right behind the refusal, afterBody once the rest of the body has been read, and
	// aheadOfNext ahead of the next answer on the connection.
	withRefusal copyPoint = "with the refusal"
	afterBody   copyPoint = "after the body"
	aheadOfNext copyPoint = "ahead of the next answer"
)

// earlyRefusal has a target refuse the first send of each ID before it has read the body, and send the
// refusal once more. Further sends run.
type earlyRefusal struct {
	text string
	copy copyPoint
	// after is how much of the body is read before the refusal.
	after int64
}

// refuse answers a send of a request and reports whether the connection stays. last is the refusal that
// it still has to copy.
func (e *earlyTarget) refuse(c *net.TCPConn, req *http.Request, how *earlyRefusal, last *string) bool {
	id := req.Header.Get("Request-Id")
	e.mu.Lock()
	first := !e.refused[id]
	e.refused[id] = true
	if !first {
		e.runs[id]++
	}
	e.mu.Unlock()
	if !first {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		_, err := io.WriteString(c, *last+e.behind.expand("{run}", req))
		*last = ""
		return err == nil
	}
	_, _ = io.CopyN(io.Discard, req.Body, how.after)
	refusal := e.behind.expand(how.text, req)
	ahead := *last
	*last = ""
	switch how.copy {
	case withRefusal:
		refusal += refusal
	case aheadOfNext:
		*last = refusal
	}
	_, _ = io.WriteString(c, ahead+refusal)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	if how.copy == afterBody {
		_, _ = io.WriteString(c, refusal)
	}
	return true
}

// Guards against an early refusal, or its copy, that is believed for a send of the request which runs.
func TestCopyOfEarlyRefusalIsNotBelieved(t *testing.T) {
	for _, copied := range []copyPoint{withRefusal, afterBody, aheadOfNext} {
		t.Run(string(copied), func(t *testing.T) {
			refusals := refusalCopies()
			for _, name := range slices.Sorted(maps.Keys(refusals)) {
				e := newEarlyEnv(t, newFailureLog(t))
				sent, again := 0, 0
				for _, route := range earlyRoutes {
					for _, size := range []int{10, 100 << 10, 12 << 20} {
						for _, target := range e.targets {
							target.refusal.Store(&earlyRefusal{text: refusals[name], copy: copied, after: int64(size / 3)})
						}
						sent++
						id := fmt.Sprintf("refused-%s-%d", strings.Trim(route.path, "/"), sent)
						var got response
						e.until("a target runs the request", func() bool {
							before := e.runsOf(id)
							again++
							got = e.sendEarly(earlyAnswer{}, route.path, id, size, false, route.headers)
							ran := e.runsOf(id) - before
							if promises := slices.Contains([]int{408, 421, 429, 503}, got.status); promises && ran > 0 || ran > 1 && !route.repeatable {
								t.Errorf("%s, %s, %d bytes: ran %d times, answered %d %q (%v)", name, route.path, size, ran, got.status, got.body, got.err)
							}
							return e.runsOf(id) > 0
						})
						if got.status != http.StatusOK && got.status != http.StatusBadGateway {
							t.Errorf("%s, %s, %d bytes: answered %d %q (%v) after a run", name, route.path, size, got.status, got.body, got.err)
						}
					}
				}
				t.Logf("%s: %d requests in %d sends", name, sent, again)
			}
		})
	}
}
