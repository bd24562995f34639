package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/store"
)

// Guards against calls that are refused as if the service were busy although the call before has
// been answered: the answer was sent before its slot was free.
func TestSlotIsFreeWhenCallIsAnswered(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer service.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	for name, test := range map[string]struct {
		url   string
		store store.Store
	}{
		"answered":       {service.URL, &mapStore{entries: map[string]store.Entry{}}},
		"not sent":       {closed.URL, &mapStore{entries: map[string]store.Entry{}}},
		"held elsewhere": {service.URL, heldStore{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestExecutor(test.url, test.store)
			for i := range 1000 {
				key := uuid.NewString()
				c.call(t.Context(), &keelv1.CallRequest{RequestId: key, Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/", DeadlineMs: uint32(time.Minute.Milliseconds())})
				if active := c.active(); active != 0 {
					t.Fatalf("call %d is answered, %d slots are in use", i, active)
				}
			}
		})
	}
}
