package rollout

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"acaciakeel/store"
)

// modelEvent is one change of the modelled key; an empty value is its deletion.
type modelEvent struct {
	value    string
	revision store.Position
}

// modelWorld is a store with one key, the processes that elect a leader over it, and what
// the watch of each has still to deliver.
type modelWorld struct {
	t       *rapid.T
	key     modelEvent
	locks   []*LeaderLock
	pending [][]modelEvent
	// delayed are writes whose responses were lost and that take effect later.
	delayed []func()
	// depth limits the calls that happen while the response to another one is awaited.
	depth int
	// tokens are the holders of all tokens.
	tokens map[int64]string
}

const foreignValue = "somebody"

func (w *modelWorld) change(value string) store.Position {
	w.key = modelEvent{value: value, revision: w.key.revision + 1}
	for i := range w.pending {
		w.pending[i] = append(w.pending[i], w.key)
	}
	return w.key.revision
}

// deliver lets the watch of one process report up to n changes.
func (w *modelWorld) deliver(i, n int) {
	for ; n > 0 && len(w.pending[i]) > 0; n-- {
		e := w.pending[i][0]
		w.pending[i] = w.pending[i][1:]
		if e.value == foreignValue {
			w.locks[i].ObserveForeign(e.revision)
		} else {
			w.locks[i].Observe(e.value, e.revision)
		}
	}
}

func (w *modelWorld) drawProcess() int {
	return rapid.IntRange(0, len(w.locks)-1).Draw(w.t, "process")
}

// step does one thing at random.
func (w *modelWorld) step() {
	switch rapid.SampledFrom([]string{"try", "deliver", "deliver", "foreign", "remove", "delayed"}).Draw(w.t, "step") {
	case "try":
		w.locks[w.drawProcess()].TryAcquire(context.Background())
	case "deliver":
		w.deliver(w.drawProcess(), rapid.IntRange(1, 3).Draw(w.t, "changes"))
	case "foreign":
		w.change(foreignValue)
	case "remove":
		if w.key.value != "" {
			w.change("")
		}
	case "delayed":
		w.runDelayed()
	}
}

func (w *modelWorld) runDelayed() {
	for _, write := range w.delayed {
		write()
	}
	w.delayed = nil
}

// meanwhile lets things happen before a response arrives.
func (w *modelWorld) meanwhile() {
	if w.depth >= 2 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for range rapid.IntRange(0, 3).Draw(w.t, "meanwhile") {
		w.step()
	}
}

// modelStore is the store as one process calls it.
type modelStore struct {
	store.Store
	world *modelWorld
}

func (s modelStore) Put(_ context.Context, _ string, value []byte, ifRevision store.Position, _ store.LeaseID) (store.Position, error) {
	w := s.world
	write := func() (store.Position, error) {
		current := store.Entry{Value: []byte(w.key.value), Revision: w.key.revision}
		if w.key.value == "" {
			current = store.Entry{}
		}
		if current.Revision != ifRevision {
			return 0, &store.ConflictError{Current: current}
		}
		return w.change(string(value)), nil
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "delayed", "refused"}).Draw(w.t, "write") {
	case "lost":
		_, _ = write()
		w.meanwhile()
		return 0, errNoResponse
	case "delayed":
		w.delayed = append(w.delayed, func() { _, _ = write() })
		w.meanwhile()
		return 0, errNoResponse
	case "refused":
		return 0, store.ErrUnavailable
	}
	revision, err := write()
	w.meanwhile()
	return revision, err
}

func (s modelStore) Get(context.Context, string) (store.Entry, error) {
	w := s.world
	if rapid.Bool().Draw(w.t, "read fails") {
		return store.Entry{}, errNoResponse
	}
	read := w.key
	w.meanwhile()
	if read.value == "" {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Value: []byte(read.value), Revision: read.revision}, nil
}

// check fails if a process whose watch has nothing more to report is wrong about its hold.
func (w *modelWorld) check() {
	for i, lock := range w.locks {
		fence, held := lock.Held()
		if len(w.pending[i]) == 0 && held != (w.key.value == lock.name) {
			w.t.Fatalf("%s believes %s, the key has %+v", lock.name, lock.state, w.key)
		}
		if len(w.pending[i]) == 0 && held && lock.state.revision != w.key.revision {
			w.t.Fatalf("%s has the entry %s, the key %+v", lock.name, lock.state, w.key)
		}
		if held {
			w.checkToken(lock.name, fence)
		}
	}
}

// checkToken fails if a token of a hold is that of another process's.
func (w *modelWorld) checkToken(holder string, token int64) {
	if token == 0 {
		w.t.Fatalf("%s holds the lock without a token", holder)
	}
	if other, ok := w.tokens[token]; ok && other != holder {
		w.t.Fatalf("%s and %s have the token %d", holder, other, token)
	}
	w.tokens[token] = holder
}

// Guards against orders of responses and observations after which nobody acquires the lock,
// or a process is wrong about holding it although it has observed everything.
func TestLockIsAcquiredInAnyOrder(t *testing.T) {
	_, session := newTestLock(t, &memoryStore{}, "")
	rapid.Check(t, func(rt *rapid.T) {
		w := &modelWorld{t: rt, tokens: map[int64]string{}, pending: make([][]modelEvent, 3)}
		for i := range w.pending {
			w.locks = append(w.locks, NewLeaderLock(modelStore{world: w}, session, "seat", fmt.Sprint("n", i), 0, discardLogger()))
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			w.step()
			w.check()
		}
		w.runDelayed()
		for range 50 {
			for i, lock := range w.locks {
				w.deliver(i, len(w.pending[i]))
				lock.TryAcquire(context.Background())
			}
		}
		w.runDelayed()
		for i := range w.locks {
			w.deliver(i, len(w.pending[i]))
		}
		w.check()
		if w.key.value == "" || w.key.value == foreignValue {
			rt.Fatalf("nobody holds the lock; the key has %+v", w.key)
		}
	})
}
