package target

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Guards against a call that a service has run and that counts as not sent, or is sent to another
// address, because the service's answer is a redirect.
func TestRedirectIsTheAnswer(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.Header().Set("Location", "http://127.0.0.1:1/")
				w.WriteHeader(status)
			}))
			defer server.Close()
			answer, err := NewService(server.URL).Do(t.Context(), Call{RequestID: "id", Method: http.MethodPost, Path: "/hold", Body: []byte("box")})
			if err != nil || answer.Status != status {
				t.Errorf("service: status %d (%v), want %d", answer.Status, err, status)
			}
			if _, err := NewEngine(server.URL).Start(t.Context(), Completion{}); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("engine: %v, want an error after sending", err)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("%d calls, want 2", n)
			}
		})
	}
}
