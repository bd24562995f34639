package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// scriptedStore is a store with prepared answers. When they are used up, calls block
// until their context ends.
type scriptedStore struct {
	store.Store
	mu      sync.Mutex
	answers []any
	calls   []string
	done    chan struct{}
}

var errDisconnected = errors.New("connection cut")

func (s *scriptedStore) next(ctx context.Context, call string) (any, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		close(s.done)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	err, _ := answer.(error)
	return answer, err
}

func (s *scriptedStore) List(ctx context.Context, _ string) (store.Listing, error) {
	a, err := s.next(ctx, "list")
	l, _ := a.(store.Listing)
	return l, err
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after store.Position, _ time.Duration) (store.Events, error) {
	a, err := s.next(ctx, fmt.Sprintf("watch %d", after))
	e, _ := a.(store.Events)
	return e, err
}

// recorder logs what a follower passes to its handler.
type recorder struct{ log []string }

func (s *recorder) Reset(entries []store.Entry, revision store.Position) {
	s.log = append(s.log, fmt.Sprintf("reset %d at %d", len(entries), revision))
}

func (s *recorder) Apply(events []store.Event) {
	for _, e := range events {
		s.log = append(s.log, fmt.Sprintf("%s deleted=%v", e.Key, e.Deleted))
	}
}

func runScript(t *testing.T, answers ...any) (*scriptedStore, *recorder, *Follower) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &scriptedStore{answers: answers, done: make(chan struct{})}
	handler := &recorder{}
	f := New(s, "", Options{WatchTimeout: time.Second}, handler, log)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	<-s.done
	cancel()
	<-ended
	return s, handler, f
}

func changeEvent(key string, revision store.Position, deleted bool) store.Event {
	return store.Event{Entry: store.Entry{Key: key, Revision: revision}, Deleted: deleted}
}

// The store compacts its history during a lost connection, so a key's deletion is
// missed. The follower must list again and apply no earlier change twice.
func TestListsAgainAfterCompaction(t *testing.T) {
	s, handler, _ := runScript(t,
		store.Listing{Revision: 5, Entries: []store.Entry{{Key: "a"}}},
		store.Events{Revision: 6, Events: []store.Event{changeEvent("b", 6, false)}},
		errDisconnected,
		store.Events{Revision: 6, Compacted: true},
		store.Listing{Revision: 9, Entries: []store.Entry{{Key: "a"}, {Key: "c"}}},
	)
	if got := fmt.Sprint(s.calls); got != "[list watch 5 watch 6 watch 6 list watch 9]" {
		t.Errorf("store calls: %s", got)
	}
	if got := fmt.Sprint(handler.log); got != "[reset 1 at 5 b deleted=false reset 2 at 9]" {
		t.Errorf("handler calls: %s", got)
	}
}

// A failed first listing is retried. The view has no age until one succeeds.
func TestFirstListingIsRetried(t *testing.T) {
	s, _, f := runScript(t, errDisconnected, errDisconnected, store.Listing{Revision: 1})
	if got := fmt.Sprint(s.calls); got != "[list list list watch 1]" {
		t.Errorf("store calls: %s", got)
	}
	if _, ok := f.Age(); !ok {
		t.Error("the view has no age after a listing")
	}
	if _, recovered := f.SinceRecovery(); !recovered {
		t.Error("the store's recovery was not recorded")
	}
}

// Guards against a view that keeps what a restored store lost: a watch that is answered with an older
// revision must lead to a listing, and none of its changes be applied.
func TestOlderRevisionIsListedAgain(t *testing.T) {
	s, handler, _ := runScript(t, store.Listing{Revision: 5}, store.Events{Revision: 3, Events: []store.Event{changeEvent("a", 3, false)}}, store.Listing{Revision: store.At(1, 3)})
	if got := fmt.Sprint(s.calls); got != fmt.Sprintf("[list watch 5 list watch %d]", store.At(1, 3)) {
		t.Errorf("store calls: %s", got)
	}
	if got := fmt.Sprint(handler.log); got != fmt.Sprintf("[reset 0 at 5 reset 0 at %d]", store.At(1, 3)) {
		t.Errorf("handler calls: %s", got)
	}
}

// Guards against changes of a new history that are applied to the view of a former one: the store was
// restarted between two watches and has passed the revision of the view since.
func TestWatchOnNewConnectionIsListedAgain(t *testing.T) {
	s, handler, _ := runScript(t, store.Listing{Revision: 5}, store.Events{Revision: 9, Reconnected: true, Events: []store.Event{changeEvent("a", 9, false)}}, store.Listing{Revision: 9})
	if got := fmt.Sprint(s.calls); got != "[list watch 5 list watch 9]" {
		t.Errorf("store calls: %s", got)
	}
	if got := fmt.Sprint(handler.log); got != "[reset 0 at 5 reset 0 at 9]" {
		t.Errorf("handler calls: %s", got)
	}
}

// advancingStore is a scriptedStore that numbers its histories.
type advancingStore struct {
	*scriptedStore
	history int
}

func (s *advancingStore) AdvanceHistory(number int) { s.history = number }

// Guards against a restored store without any other sign of it: a key has another content at the
// revision that it had before.
func TestContradictingListingBeginsAHistory(t *testing.T) {
	for name, listing := range map[string]store.Listing{
		"other content":  {Revision: 9, Entries: []store.Entry{{Key: "a", Revision: 4, Value: []byte("other")}}},
		"older revision": {Revision: 9, Entries: []store.Entry{{Key: "a", Revision: 3, Value: []byte("value")}}},
		"fallen":         {Revision: 4},
	} {
		t.Run(name, func(t *testing.T) {
			_, handler, f := newListedFollower(t, 0, store.Events{Compacted: true}, listing, store.Listing{Revision: store.At(1, 9)})
			f.reset(store.Listing{Revision: 5, Entries: []store.Entry{{Key: "a", Revision: 4, Value: []byte("value")}}}, clock.Now())
			s := &advancingStore{scriptedStore: f.store.(*scriptedStore)}
			f.store = s
			f.runFor(100 * time.Millisecond)
			if s.history != 1 {
				t.Errorf("history %d, want 1", s.history)
			}
			if got := fmt.Sprint(handler.log); got != fmt.Sprintf("[reset 0 at 5 reset 1 at 5 reset 0 at %d]", store.At(1, 9)) {
				t.Errorf("handler calls: %s", got)
			}
		})
	}
}
