package router

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
)

func TestReadEvent(t *testing.T) {
	in := bufio.NewReader(strings.NewReader("id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: ha"))
	for _, want := range []struct {
		event string
		id    int64
		ok    bool
	}{
		{"id: 1\ndata: a\n\n", 1, true},
		{"weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n", 2, true},
	} {
		event, err := readEvent(in)
		if err != nil || string(event) != want.event {
			t.Fatalf("read %q (%v), want %q", event, err, want.event)
		}
		if id, ok := eventID(event); id != want.id || ok != want.ok {
			t.Errorf("id %d %v of %q", id, ok, event)
		}
	}
	rest, err := readEvent(in)
	if err != io.EOF || string(rest) != "id: 3\ndata: ha" {
		t.Errorf("read %q (%v) at the end", rest, err)
	}
}

// For any input, the events and the remaining bytes together equal the input.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"))
	f.Add([]byte("\n\n\r\n:"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		in := bufio.NewReader(bytes.NewReader(sent))
		var got []byte
		for {
			event, err := readEvent(in)
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
