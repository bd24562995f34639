package httpbody

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestLimit(t *testing.T) {
	for _, test := range []struct {
		body   string
		length int64
		limit  int64
		fits   bool
	}{
		{"", 0, 0, true},
		{"1234", 4, 4, true},
		{"1234", -1, 4, true},
		{"12345", -1, 4, false},
		{"12345", 5, 4, false},
		// Nothing is read of a body that is too large by its own header.
		{"", 5, 4, false},
	} {
		response := func() *http.Response {
			return &http.Response{Body: io.NopCloser(strings.NewReader(test.body)), ContentLength: test.length}
		}
		body, err := Read(response(), test.limit)
		if (err == nil) != test.fits || errors.Is(err, ErrTooLarge) == test.fits || (test.fits && string(body) != test.body) {
			t.Errorf("read %q of length %d up to %d: %q (%v)", test.body, test.length, test.limit, body, err)
		}
		if err := Discard(response(), test.limit); errors.Is(err, ErrTooLarge) == test.fits {
			t.Errorf("discard %q of length %d up to %d: %v", test.body, test.length, test.limit, err)
		}
	}
}

func TestDecodeRefusesIncompleteAndFurtherBytes(t *testing.T) {
	for body, ok := range map[string]bool{`{"a":1}`: true, "{\"a\":1}\n": true, `{"a":1`: false, `{"a":1}{`: false, "": false} {
		var out struct{ A int }
		err := Decode(&http.Response{Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1}, 100, &out)
		if (err == nil) != ok || (ok && out.A != 1) {
			t.Errorf("%q: %+v (%v)", body, out, err)
		}
	}
}
