package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// trap listens at an address that only entries of other writers name, for
// connections and for datagrams, and keeps what came.
type trap struct {
	address string

	mu   sync.Mutex
	came []string
}

// portTries is how often a port is sought that is free for both kinds.
const portTries = 20

func newTrap(t *testing.T) *trap {
	t.Helper()
	for range portTries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			l.Close()
			continue
		}
		t.Cleanup(func() { l.Close(); p.Close() })
		tr := &trap{address: l.Addr().String()}
		go tr.acceptAll(l)
		go tr.readAll(p)
		return tr
	}
	t.Fatal("no port is free for connections and datagrams")
	return nil
}

func (tr *trap) acceptAll(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		text := make([]byte, 300)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		n, _ := conn.Read(text)
		conn.Close()
		tr.keep(fmt.Sprintf("a connection with %q", text[:n]))
	}
}

func (tr *trap) readAll(p net.PacketConn) {
	text := make([]byte, 300)
	for {
		n, _, err := p.ReadFrom(text)
		if err != nil {
			return
		}
		tr.keep(fmt.Sprintf("a datagram of %d bytes or more", n))
	}
}

func (tr *trap) keep(what string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.came = append(tr.came, what)
}

func (tr *trap) caught() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]string(nil), tr.came...)
}

// foreign is an entry of another writer.
type foreign struct {
	key string
	// value returns what is written there at one of its changes.
	value func(random *rand.Rand) []byte
	// end is how it goes.
	end func(s *site)
}

// noise is what can't be read as any kind of entry.
var noise = [][]byte{nil, []byte("\x00\xff{"), []byte("{"), []byte("[]"), []byte("null"), []byte("7"), []byte(`"text"`), []byte("{}")}

func oneOf[T any](random *rand.Rand, all []T) T { return all[random.IntN(len(all))] }

// wrongFields are changes of a sound entry of a target, each of which makes it
// one that names no target; nil takes the field away.
var wrongFields = []struct {
	name  string
	value any
}{
	{"service", nil}, {"service", 12}, {"service", ""}, {"service", "somebody's"},
	{"address", 8080}, {"address", "nowhere"}, {"zone", 4}, {"zone", nil},
	{"state", nil}, {"state", "resting"}, {"state", 7}, {"state", true},
	{"slots", "many"}, {"slots", 1.5}, {"slots", -1}, {"seq_no", "none"}, {"born", "today"}, {"born", -1},
	{"models", "m"}, {"models", []any{"m"}}, {"models", []any{map[string]any{"name": model}}},
}

// serverValue returns a target's entry that is bad, with the trap's address where
// it has one.
func (s *site) serverValue(random *rand.Rand) []byte {
	if random.IntN(4) == 0 {
		return oneOf(random, noise)
	}
	entry := s.trapEntry(oneOf(random, []string{"lm", "desk"}))
	wrong := oneOf(random, wrongFields)
	entry[wrong.name] = wrong.value
	if wrong.value == nil {
		delete(entry, wrong.name)
	}
	return encode(entry)
}

// falseValue returns a target's own entry with a start that is ahead, or with weights that are.
func (s *site) falseValue(tg *target, random *rand.Rand) []byte {
	var entry map[string]any
	_ = json.Unmarshal(tg.EntryAt("ready", s.addressOf(tg)).Value, &entry)
	s.mu.Lock()
	named := s.weights > 1
	s.mu.Unlock()
	if named && random.IntN(2) == 0 {
		entry["models"] = []any{map[string]any{"name": model, "version": 1 << 53}}
		return encode(entry)
	}
	ahead := oneOf(random, []time.Duration{time.Minute, 20 * time.Minute, 24 * time.Hour})
	entry["born"] = time.Now().Add(ahead).UnixMilli()
	return encode(entry)
}

// trapEntry returns a target's entry that is sound, at the trap's address.
func (s *site) trapEntry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": s.trap.address, "zone": "z1", "slots": 64, "state": "ready",
		"models": []any{map[string]any{"name": model, "version": 1}}, "born": time.Now().UnixMilli(),
	}
}

func encode(entry map[string]any) []byte {
	value, _ := json.Marshal(entry)
	return value
}

// foreigner returns a new entry of another writer: beside the good ones, or in
// place of one. Of each service some target is left in peace.
func (s *site) foreigner(random *rand.Rand) foreign {
	text := func(values ...string) func(*rand.Rand) []byte {
		return func(random *rand.Rand) []byte { return []byte(oneOf(random, values)) }
	}
	removed := func(key string) func(*site) { return func(s *site) { s.store.Remove(key) } }
	switch random.IntN(7) {
	case 0, 1:
		key := "servers/" + oneOf(random, []string{"x0", "x1", "x2"})
		return foreign{key, s.serverValue, removed(key)}
	case 2:
		key := "servers/" + oneOf(random, []string{"x/y", "x y", "", "r0/r0"})
		return foreign{key, func(*rand.Rand) []byte { return encode(s.trapEntry("lm")) }, removed(key)}
	case 3:
		tg := oneOf(random, []*target{s.runners[0], s.runners[1], s.desks[0]})
		value := s.serverValue
		if random.IntN(2) == 0 {
			value = func(random *rand.Rand) []byte { return s.falseValue(tg, random) }
		}
		return foreign{"servers/" + tg.ID, value, func(s *site) { s.register(tg, true) }}
	case 4:
		return foreign{"op/version/" + model, text("", "\xff", "{}", `{"model":"m"}`, `{"model":"m","version":"9"}`, `{"model":"m","version":1.5}`, `{"model":7,"version":9}`, `[9]`),
			func(s *site) { s.mu.Lock(); defer s.mu.Unlock(); s.writeWeights() }}
	case 5:
		key := oneOf(random, []string{"keel/members/one", "keel/members/", "keel/members/n9/nobody"})
		return foreign{key, text(s.trap.address, "", "\xff\x00", `{"address":"`+s.trap.address+`"}`), removed(key)}
	default:
		// Nobody but the entries can end this one.
		return foreign{"keel/orders", text("", "nobody", "\xff\x00", `{"holder":"nobody"}`, "n9/nobody"), func(*site) {}}
	}
}

// foreignEntry is written, changed and taken away again.
var foreignEntry = fault{"foreign entry", func(b *breaker) (time.Duration, func()) {
	s := b.site
	f := s.foreigner(b.random)
	s.store.Set(f.key, f.value(b.random))
	next, pause := f.value(b.random), b.upTo(500*time.Millisecond)
	b.played[len(b.played)-1] += " " + f.key
	return b.upTo(time.Second), func() {
		s.store.Set(f.key, next)
		time.Sleep(pause)
		f.end(s)
	}
}}

// Other writers' entries come, change and go under all keys that the entries
// read, some in place of good ones, while configurations change too. Nothing else
// fails, so each request is served, by the target of a good entry: at once, or
// when its client comes again after an entry without enough processor time has
// closed its connection unread. Weights stay, since a rollout alone has requests
// refused; TestSoak has both.
func TestSoakForeign(t *testing.T) {
	seed := uint64(number("SOAK_SEED", 1))
	s := newSite(t, number("SOAK_ENTRIES", 3), regression{})
	s.await("all entries are ready at the start", s.allReady)
	c := s.newCallers()
	c.sendWith(seed, c.sendWithRetries)
	b := &breaker{
		site: s, random: rand.New(rand.NewPCG(seed, 1<<32)),
		faults: []fault{foreignEntry, foreignEntry, foreignEntry, foreignEntry, newConfiguration},
	}
	b.breakFor(time.Duration(number("SOAK_SECONDS", 8)) * time.Second)
	c.end()
	s.await("every runner has the newest weights", s.allLoaded)
	c.judge()
	t.Logf("soak of foreign entries seed=%d requests=%d outcomes=%v faults=%v", seed, c.seq, c.counts, b.played)
	for id, sends := range c.seen {
		if out := sends[len(sends)-1]; out.err != nil || out.status != http.StatusOK {
			t.Errorf("%s %s ended with %d, %v beside foreign entries", out.route, id, out.status, out.err)
		}
	}
	c.judgeClosed()
	for _, v := range c.broken {
		t.Error(v)
	}
}
