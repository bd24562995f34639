package router

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against events of two runs in one stream: a response that repeats an event is not taken for the continuation of what the client has.
func TestStreamPosition(t *testing.T) {
	for _, test := range []struct {
		name    string
		resumed string
		events  []string
		want    error
	}{
		{"a new stream", "", []string{"id: 1\ndata: a\n\n", "id: 4\ndata: b\n\n"}, nil},
		{"one continued", "", []string{"id: 1\ndata: a\n\n", "id: 3\ndata: b\n\n"}, nil},
		{"one begun anew", "", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n"}, errRepeatedEvent},
		{"one whose last event is repeated", "", []string{"id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n"}, errRepeatedEvent},
		{"one resumed and continued", "7", []string{"id: 8\ndata: a\n\n"}, nil},
		{"one resumed and begun anew", "7", []string{"id: 1\ndata: a\n\n"}, errRepeatedEvent},
		{"one resumed after an event without a number", "seven", []string{"id: 1\ndata: a\n\n"}, nil},
	} {
		p := newStreamPosition(test.resumed)
		var err error
		for _, event := range test.events {
			if err = p.advance([]byte(event)); err != nil {
				break
			}
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v", test.name, err)
		}
	}
}

// Whatever targets send, the IDs of the events that are forwarded increase.
func TestForwardedEventIDsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newStreamPosition(rapid.SampledFrom([]string{"", "0", "3", "x"}).Draw(t, "resumed"))
		last, some := p.last, p.ok
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
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
