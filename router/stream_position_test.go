package router

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against events of two runs in one stream: a response that repeats an event, or whose first
// event can't be placed, is not taken for the continuation of what the client has.
func TestStreamPosition(t *testing.T) {
	const next = "" // The next response begins.
	for _, test := range []struct {
		name        string
		resumed     string
		events      []string
		want        error
		continuable bool
	}{
		{"a new stream", "", []string{"id: 1\ndata: a\n\n", "id: 4\ndata: b\n\n"}, nil, true},
		{"one continued", "", []string{"id: 1\ndata: a\n\n", next, "id: 3\ndata: b\n\n"}, nil, true},
		{"one begun anew", "", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", next, "id: 1\ndata: a\n\n"}, errRepeatedEvent, true},
		{"one whose last event is repeated", "", []string{"id: 2\ndata: b\n\n", next, "id: 2\ndata: b\n\n"}, errRepeatedEvent, true},
		{"one resumed and continued", "7", []string{"id: 8\ndata: a\n\n"}, nil, true},
		{"one resumed and begun anew", "7", []string{"id: 1\ndata: a\n\n"}, errRepeatedEvent, true},
		{"one resumed after an event without a number", "seven", []string{"id: 1\ndata: a\n\n"}, nil, true},
		{"one whose continuation has no IDs", "", []string{"id: 1\ndata: a\n\n", next, "data: b\n\n"}, errUnplacedEvent, true},
		{"one without IDs", "", []string{"data: a\n\n", "data: b\n\n"}, nil, false},
		{"an event without an ID at the end", "", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, nil, false},
		{"one followed by an event with an ID", "", []string{"id: 1\ndata: a\n\n", "data\n\n", "id: 2\ndata: c\n\n"}, nil, true},
		{"comments", "", []string{": x\n\n", "id: 1\ndata: a\n\n", ": x\n\n", next, ": x\n\n", "id: 2\ndata: b\n\n"}, nil, true},
		{"a field that begins like data", "", []string{"id: 1\ndata: a\n\n", "database: x\r\n\r\n"}, nil, true},
	} {
		p := newStreamPosition(test.resumed)
		p.beginResponse()
		var err error
		for _, event := range test.events {
			if event == next {
				p.beginResponse()
				continue
			}
			if err = p.advance([]byte(event)); err != nil {
				break
			}
		}
		if !errors.Is(err, test.want) || p.continuable() != test.continuable {
			t.Errorf("%s: error %v, continuable %v", test.name, err, p.continuable())
		}
	}
}

// Whatever targets send, the IDs of the events that are forwarded increase.
func TestForwardedEventIDsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newStreamPosition(rapid.SampledFrom([]string{"", "0", "3", "x"}).Draw(t, "resumed"))
		last, some := p.last, p.ok
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "next response") == 0 {
				p.beginResponse()
			}
			event := rapid.SampledFrom([]string{"id: 1\ndata\n\n", "id: 2\ndata: x\n\n", "id:5\ndata: x\n\n", "data: x\n\n", ":\n\n", "id: 9\n\n", "id: x\ndata: y\n\n"}).Draw(t, "event")
			id, numbered := eventID([]byte(event))
			if p.advance([]byte(event)) != nil || !numbered {
				continue
			}
			if some && id <= last {
				t.Fatalf("event %d is forwarded after event %d", id, last)
			}
			last, some = id, true
		}
	})
}
