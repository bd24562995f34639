package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Figures of a series of planned stops.
const (
	// regulars is how many callers keep their connections; enough that some
	// request meets each moment of a stop.
	regulars = 120
	// rounds is how often all entries are stopped one after the other.
	rounds = 2
	// slowest is how long a request may be on its way to an entry.
	slowest = 700 * time.Millisecond
	// think is the longest pause of a caller: each connection is used at least
	// once in an entry's notice, and hears that it ends.
	think = 400 * time.Millisecond
	// askEvery is how often the platform asks an entry whether it is ready; the
	// answer is on the slow way too. The second of a kind is believed.
	askEvery = time.Second
	// stopsApart bounds the time between the stops of two entries; with
	// minApart between them, the last is stopped before the first has gone.
	minApart, stopsApart = 100 * time.Millisecond, 500 * time.Millisecond
	// mostChanges is how many changes come before each stop, so that some overlap.
	mostChanges = 3
)

// errNotAccepted is the end of a connection that the entry never took on.
var errNotAccepted = errors.New("the entry did not accept the connection")

// believed are the entries to which the platform brings new connections.
type believed struct {
	mu    sync.Mutex
	ready map[*entry]bool
	// asked tells who waits for it that an entry has just been asked.
	asked map[*entry]chan struct{}
}

// watch asks the entries as the platform does, one after the other, until the
// test ends.
func (s *site) watch(seed uint64) *believed {
	b := &believed{ready: map[*entry]bool{}, asked: map[*entry]chan struct{}{}}
	stop := make(chan struct{})
	var done sync.WaitGroup
	s.t.Cleanup(func() { close(stop); done.Wait() })
	for i, e := range s.entries {
		random := rand.New(rand.NewPCG(seed, 1<<33+uint64(i)))
		asked := make(chan struct{})
		b.asked[e] = asked
		time.Sleep(minApart + time.Duration(random.Int64N(int64(stopsApart-minApart))))
		done.Go(func() { b.ask(e, asked, random, stop) })
	}
	return b
}

func (b *believed) ask(e *entry, asked chan<- struct{}, random *rand.Rand, stop <-chan struct{}) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for last := false; ; {
		now := e.isReady()
		select {
		case asked <- struct{}{}:
		default:
		}
		time.Sleep(time.Duration(random.Int64N(int64(slowest))))
		if now == last {
			b.mu.Lock()
			b.ready[e] = now
			b.mu.Unlock()
		}
		last = now
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// entries returns those that are believed to be ready.
func (b *believed) entries() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*entry
	for e, ready := range b.ready {
		if ready {
			out = append(out, e)
		}
	}
	return out
}

// line is a caller's connection to an entry.
type line struct {
	conn  net.Conn
	in    *bufio.Reader
	entry *entry
	used  bool
}

// open returns a connection to an entry to which the platform leads, or nil.
func (b *believed) open(random *rand.Rand) *line {
	all := b.entries()
	if len(all) == 0 {
		return nil
	}
	e := all[random.IntN(len(all))]
	conn, err := net.Dial("tcp", e.front)
	if err != nil {
		return nil
	}
	return &line{conn: conn, in: bufio.NewReader(conn), entry: e}
}

// ended returns how the entry ended the connection, nil while it is open.
func (l *line) ended() error {
	_ = l.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := l.in.Peek(1)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return nil
	}
	return err
}

// ask sends a request that is on its way for the delay, and reads the answer.
func (l *line) ask(req *http.Request, delay time.Duration) (*http.Response, string, error) {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, "", err
	}
	time.Sleep(delay)
	err := l.ended()
	if errors.Is(err, syscall.ECONNRESET) && !l.used {
		// The kernel resets what waits at a listener that closes.
		return nil, "", errNotAccepted
	}
	l.used = true
	if err == nil {
		_, err = l.conn.Write(text.Bytes())
	}
	if err != nil {
		return nil, "", fmt.Errorf("the connection ended with the request on its way: %w", err)
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(l.in, req)
	if err != nil {
		return nil, "", fmt.Errorf("the whole request was sent and not answered: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		err = fmt.Errorf("the answer %d broke off after %q: %w", resp.StatusCode, body, err)
	}
	return resp, string(body), err
}

// callKept has callers send over connections that they keep, until c ends.
func (s *site) callKept(seed uint64, b *believed) *callers {
	c := &callers{site: s, stop: make(chan struct{}), seen: map[string][]outcome{}, counts: map[string]int{}, lost: map[string][]string{}}
	for i := range regulars {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		c.done.Go(func() { c.keep(b, random) })
	}
	return c
}

// keep sends one request after the other, each over the last one's connection
// while that is open.
func (c *callers) keep(b *believed, random *rand.Rand) {
	var l *line
	for {
		select {
		case <-c.stop:
			if l != nil {
				l.conn.Close()
			}
			return
		case <-time.After(time.Duration(random.Int64N(int64(think)))):
		}
		if l != nil && l.ended() != nil {
			l.conn.Close()
			l = nil
		}
		if l == nil {
			l = b.open(random)
		}
		if l != nil && !c.sendOver(l, random) {
			l.conn.Close()
			l = nil
		}
	}
}

// sendOver sends one attempt and reports whether the connection goes on.
func (c *callers) sendOver(l *line, random *rand.Rand) bool {
	c.mu.Lock()
	c.seq++
	id := fmt.Sprintf("id-%d", c.seq)
	c.mu.Unlock()
	out := outcome{route: []string{"draft", "match", "hold", "stock"}[random.IntN(4)]}
	req, err := c.request(l.entry, out.route, id, random.IntN(12))
	if err != nil {
		c.violate("request %s: %v", id, err)
		return false
	}
	delay := time.Duration(random.Int64N(int64(slowest)))
	resp, body, err := l.ask(req, delay)
	out.err = err
	what := "not accepted"
	if resp != nil {
		out.status = resp.StatusCode
		what = fmt.Sprint(out.status)
		c.checkAnswer(id, &out, resp, body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, errNotAccepted) {
		what = "lost"
		fault := fmt.Sprintf("to %s: %v", l.entry.name, err)
		c.lost[fault] = append(c.lost[fault], fmt.Sprintf("%s %s, %v on its way", out.route, id, delay.Round(time.Millisecond)))
	}
	c.seen[id] = []outcome{out}
	c.counts[what]++
	return err == nil && !resp.Close
}

// stopAll stops all entries as planned, one shortly after the other, and starts
// each again as soon as its process has ended. A stop that begins when the
// platform has just asked is the one that it believes latest. Changes come in
// between, to entries that leave, have started again or are still to be stopped.
func (s *site) stopAll(b *believed, random *rand.Rand) (changes []string) {
	var under sync.WaitGroup
	for _, e := range s.entries {
		for range random.IntN(mostChanges + 1) {
			changes = append(changes, s.change(random))
		}
		<-b.asked[e]
		e.signal(syscall.SIGTERM)
		under.Go(func() {
			e.wait()
			e.start()
		})
	}
	under.Wait()
	return changes
}

// change makes one planned change and returns its name.
func (s *site) change(random *rand.Rand) string {
	switch random.IntN(4) {
	case 0:
		s.configure()
		return "new configuration"
	case 1:
		s.nameWeights()
		return "new weights"
	default:
		e := s.entries[random.IntN(len(s.entries))]
		e.hangUp()
		return "SIGHUP to " + e.name
	}
}

// All entries are stopped as planned, one shortly after the other, and the last
// gets all new connections until the platform believes that it leaves too. The way
// there is slow, so requests sent in time meet the closing of its door. Settings,
// configurations and weights change meanwhile. Nothing fails but what is planned:
// each must end with a whole answer or a refusal.
func TestSoakStops(t *testing.T) {
	seed := uint64(number("SOAK_SEED", 1))
	s := newSite(t, number("SOAK_ENTRIES", 3), regression{})
	b := s.watch(seed)
	all := func() bool { return len(b.entries()) == len(s.entries) }
	s.await("the platform leads to all entries", all)
	c := s.callKept(seed, b)
	var changes []string
	random := rand.New(rand.NewPCG(seed, 1<<34))
	for range rounds {
		changes = append(changes, s.stopAll(b, random)...)
		s.await("the platform leads to all entries again", all)
	}
	c.end()
	s.await("every runner has the newest weights", s.allLoaded)
	c.judge()
	t.Logf("soak of stops seed=%d requests=%d outcomes=%v changes=%v", seed, c.seq, c.counts, changes)
	for fault, of := range c.lost {
		t.Errorf("%d requests %s (such as %s)", len(of), fault, of[0])
	}
	for _, v := range c.broken {
		t.Error(v)
	}
}
