package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// refusedMetric counts the new connections that an entry closes unread while it gets too little
	// processor time.
	refusedMetric = "keel_node_connections_refused_total"
	// retryPause is the pause before a client whose connection was closed unread connects again: a
	// shorter one has starved entries spend their time on that.
	retryPause = 200 * time.Millisecond
)

// sendWithRetries sends a request at random, again at the next entry each time that an entry closes the
// new connection without an answer. judgeClosed tells whether the entries count these connections.
func (c *callers) sendWithRetries(random *rand.Rand) {
	route := []string{"draft", "match", "hold", "stock"}[random.IntN(4)]
	at, thing := random.IntN(len(c.site.entries)), random.IntN(12)
	e := c.site.entries[at]
	id := c.newID("id-", e)
	for n, end := 1, time.Now().Add(patience); ; n++ {
		out := c.sendNth(&http.Transport{DisableKeepAlives: true}, e, route, id, thing, n)
		if !out.closedUnread() {
			return
		}
		c.mu.Lock()
		c.closed[e]++
		c.mu.Unlock()
		if !time.Now().Before(end) {
			return
		}
		time.Sleep(retryPause)
		at++
		e = c.site.entries[at%len(c.site.entries)]
	}
}

// closedUnread reports whether the connection may have been closed before the request was read: it
// ended without a byte of an answer.
func (o *outcome) closedUnread() bool {
	if o.err == nil || o.status != 0 {
		return false
	}
	return errors.Is(o.err, io.EOF) || errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE) ||
		strings.Contains(o.err.Error(), "server closed idle connection")
}

// judgeClosed: an entry ends no more connections without an answer than it counts as closed unread,
// and no request ran whose connection ended so.
func (c *callers) judgeClosed() {
	for _, e := range c.site.entries {
		refused, err := e.connectionsRefused()
		if err != nil {
			c.violate("%s: its metrics can't be read: %v", e.name, err)
			continue
		}
		if n := c.closed[e]; n > 0 || refused > 0 {
			c.site.t.Logf("%s closed %d new connections unread, %d of its clients' ended without an answer", e.name, refused, n)
		}
		if broken := judgeCount(c.closed[e], refused); broken != "" {
			c.violate("%s: %s", e.name, broken)
		}
	}
	runs := c.site.runs()
	for id, sends := range c.seen {
		for _, broken := range judgeUnread(sends, runs[id]) {
			c.violate("%s %s %s", sends[0].route, id, broken)
		}
	}
}

// judgeCount holds the connections that ended without an answer against those that the entry counts.
func judgeCount(ended, refused int) string {
	if ended <= refused {
		return ""
	}
	return fmt.Sprintf("%d connections ended without an answer, %d were closed unread", ended, refused)
}

// judgeUnread returns the sends whose connection ended without an answer and that ran.
func judgeUnread(sends []outcome, runs []run) []string {
	var broken []string
	for i := range sends {
		if sends[i].closedUnread() && slices.ContainsFunc(runs, func(r run) bool { return r.send == i+1 }) {
			broken = append(broken, fmt.Sprintf("ran in send %d, whose connection ended without an answer: %v", i+1, sends[i].err))
		}
	}
	return broken
}

// connectionsRefused returns how many connections the entry's process counts as closed unread.
func (e *entry) connectionsRefused() (int, error) {
	client := http.Client{Timeout: patience}
	resp, err := client.Get("http://127.0.0.1:" + e.metricsPort + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		if text, ok := strings.CutPrefix(in.Text(), refusedMetric+" "); ok {
			n, err := strconv.ParseFloat(text, 64)
			return int(n), err
		}
	}
	return 0, fmt.Errorf("no %s: %w", refusedMetric, errors.Join(in.Err(), io.ErrUnexpectedEOF))
}

// Guards against a soak that takes any reset for a connection that an entry closed unread.
func TestOnlyCountedConnectionsEndWithoutAnAnswer(t *testing.T) {
	reset := outcome{route: "hold", err: fmt.Errorf("read: %w", syscall.ECONNRESET)}
	broken := outcome{route: "hold", status: http.StatusOK, err: io.ErrUnexpectedEOF}
	slow := outcome{route: "hold", err: errors.New("Client.Timeout exceeded")}
	served := outcome{route: "hold", status: http.StatusOK}
	if !reset.closedUnread() || broken.closedUnread() || slow.closedUnread() || served.closedUnread() {
		t.Error("only connections that end before an answer may have been closed unread")
	}
	if judgeCount(2, 2) != "" || judgeCount(3, 2) == "" || judgeCount(1, 0) == "" {
		t.Error("an entry may end as many connections as it counts")
	}
	if got := judgeUnread([]outcome{reset, served}, []run{{send: 2}}); len(got) != 0 {
		t.Errorf("a request that ran when it came again: %v", got)
	}
	if got := judgeUnread([]outcome{reset, served}, []run{{send: 1}, {send: 2}}); len(got) != 1 {
		t.Errorf("a request that ran on a connection that ended: %v", got)
	}
}
