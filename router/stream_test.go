package router

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/responsebuffer"
)

func TestReadEvent(t *testing.T) {
	in := newEventReader(strings.NewReader("id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: ha"), nil)
	for _, want := range []struct {
		event string
		id    int64
		ok    bool
	}{
		{"id: 1\ndata: a\n\n", 1, true},
		{"weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n", 2, true},
	} {
		event, err := in.next()
		if err != nil || string(event) != want.event {
			t.Fatalf("read %q (%v), want %q", event, err, want.event)
		}
		if id, ok := eventID(event); id != want.id || ok != want.ok {
			t.Errorf("id %d %v of %q", id, ok, event)
		}
	}
	rest, err := in.next()
	if err != io.EOF || string(rest) != "id: 3\ndata: ha" {
		t.Errorf("read %q (%v) at the end", rest, err)
	}
}

// For any input, the events and the remaining bytes together equal the input.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"))
	f.Add([]byte("\n\n\r\n:"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		in := newEventReader(bytes.NewReader(sent), nil)
		var got []byte
		for {
			event, err := in.next()
			got = append(got, event...)
			_, _ = eventID(event)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(got, sent) {
			t.Errorf("read %q of %q", got, sent)
		}
	})
}

// Guards against an event without end, which would fill the memory: as one line, and as lines
// without an empty one.
func TestEventOverBoundIsNotRead(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "\r", ":\r\n"} {
		in := &countingReader{Reader: strings.NewReader(strings.Repeat(text, 2*maxEventBytes/len(text)))}
		if event, err := newEventReader(in, nil).next(); !isOversized(err) || event != nil {
			t.Errorf("%q: read %d bytes (%v)", text, len(event), err)
		}
		if in.read > maxEventBytes+8<<10 {
			t.Errorf("%q: %d bytes were read", text, in.read)
		}
	}
}

// Guards against an event that is taken for whole before its last line: the end of a line that fills
// the reader's buffer exactly looks like an empty line.
func TestLineOfBufferSizeIsNoEndOfEvent(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		for _, cut := range []int{0, 1, 2} {
			event := strings.Repeat("x", 2*eventReadBytes-cut) + end + "id: 7" + end + end
			got, err := newEventReader(strings.NewReader(event+event), nil).next()
			if id, ok := eventID(got); err != nil || string(got) != event || id != 7 || !ok {
				t.Errorf("%q, %d bytes less than the buffer: read %d bytes of %d (%v)", end, cut, len(got), len(event), err)
			}
		}
	}
}

// Guards against events that together fill the memory although each is within its own bound.
func TestEventsShareTheMemory(t *testing.T) {
	pool := responsebuffer.NewPool(responsebuffer.Limits{Response: 4 << 20, Total: 4 << 20}, nil)
	event := strings.Repeat("x", 900_000) + "\n\n"
	given := 0
	var readers []*eventReader
	for range 8 {
		r := newEventReader(strings.NewReader(event+event), pool.Reserve(func() { given++ }))
		if got, err := r.next(); err == nil && string(got) != event {
			t.Errorf("read %d bytes of %d", len(got), len(event))
		}
		readers = append(readers, r)
	}
	if given < 4 || pool.Usage().Bytes > 4<<20 {
		t.Errorf("%d readers were given up, %+v held", given, pool.Usage())
	}
	for _, r := range readers {
		r.release()
	}
	if u := pool.Usage(); u != (responsebuffer.Usage{}) {
		t.Errorf("held after the end: %+v", u)
	}
}

type countingReader struct {
	io.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}

// Guards against long pauses that no metric shows, and against streams within their bound, or
// without one, that are counted as late.
func TestPausesBeyondTheBoundAreObserved(t *testing.T) {
	registry := prometheus.NewRegistry()
	router := &Router{metrics: NewMetrics(registry), fleet: fleet.New("z")}
	observe := func(bound, pause time.Duration) logrus.Fields {
		s := &session{router: router, longestPause: pause, firstEventAt: time.Unix(1000, 0)}
		s.in = &admittedRequest{Request: &Request{Model: "m"}, route: &catalog.Route{Name: "drafts", MaxEventGap: bound}, service: &catalog.Service{Name: "lm"}}
		s.lastChoice = fleet.Choice{Pace: fleet.Pace{Duration: 1.25, Slowdown: 2.5}, ExpectedPause: 40 * time.Millisecond}
		s.observePause()
		fields := logrus.Fields{}
		s.addLogFields(fields)
		return fields
	}
	observe(0, time.Minute)
	observe(300*time.Millisecond, 300*time.Millisecond)
	fields := observe(300*time.Millisecond, 750*time.Millisecond)
	for name, want := range map[string]any{"pause_bound_ms": int64(300), "pause_expected_ms": int64(40), "pause_ms": int64(750), "speed": 0.8, "slowdown": 2.5} {
		if fields[name] != want {
			t.Errorf("%s is %v on the request's line, want %v", name, fields[name], want)
		}
	}
	if _, ok := observe(0, 0)["pause_bound_ms"]; ok {
		t.Error("a bound is logged for a route without one")
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "keel_router_pauses_over_seconds" {
			continue
		}
		h := family.GetMetric()[0].GetHistogram()
		if h.GetSampleCount() != 1 || h.GetSampleSum() != 0.45 {
			t.Errorf("%d pauses beyond the bound by %.2f s in all, want one by 0.45 s", h.GetSampleCount(), h.GetSampleSum())
		}
		return
	}
	t.Error("no metric of pauses beyond the bound")
}
