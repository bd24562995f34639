package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/ledger"
	"acaciakeel/store"
)

// mapStore is a store in memory.
type mapStore struct {
	store.Store
	mu      sync.Mutex
	entries map[string]store.Entry
}

func (*mapStore) Delete(context.Context, string, store.Position) (store.Position, error) {
	return 0, nil
}

func (*mapStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return "1", nil }

func (s *mapStore) Put(_ context.Context, key string, value []byte, ifRevision store.Position, _ store.LeaseID) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ifRevision != s.entries[key].Revision {
		return 0, store.ErrConflict
	}
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: ifRevision + 1}
	return ifRevision + 1, nil
}

func (s *mapStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, store.ErrNotFound
	}
	return e, nil
}

// Guards against calls that are refused with an unknown outcome although no process has had them:
// the ledger was full, and forgot other calls, whose claims stand.
func TestNewKeysAreTakenAfterAFullLedger(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer service.Close()
	c := newTestExecutor(service.URL, &mapStore{entries: map[string]store.Entry{}})
	c.margin = 2 * time.Second
	hour := time.Now().Add(-time.Hour)
	c.started, c.homeStatus = hour, func(ledger.Key) (bool, time.Time) { return true, hour }
	for i := range 30 {
		key := uuid.Must(uuid.NewV7()).String()
		answer := c.call(t.Context(), &keelv1.CallRequest{RequestId: key, Customer: "c", Service: "s", IdempotencyKey: key, Method: http.MethodPost, Path: "/", RequireIncarnation: "i"})
		if answer.Refusal != nil {
			t.Fatalf("call %d: %v", i, answer.Refusal)
		}
	}
}
