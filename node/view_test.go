package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/follow"
	"acaciakeel/platform"
	"acaciakeel/rollout"
	"acaciakeel/store"
)

// compactingStore is a store that drops its history once, while weights are named.
type compactingStore struct {
	store.Store
	lists, watches int
}

func (s *compactingStore) List(context.Context, string) (store.Listing, error) {
	s.lists++
	return store.Listing{Revision: store.Position(s.lists)}, nil
}

func (s *compactingStore) Watch(ctx context.Context, _ string, after store.Position, _ time.Duration) (store.Events, error) {
	s.watches++
	if s.watches == 1 {
		return store.Events{Revision: after, Compacted: true}, nil
	}
	<-ctx.Done()
	return store.Events{}, ctx.Err()
}

// namingHandler sets weights 1 as desired in a view at the first listing and weights 2 at the
// second.
type namingHandler struct {
	view   *view
	listed int64
	done   chan struct{}
}

func (n *namingHandler) Reset([]store.Entry, store.Position) {
	n.listed++
	n.view.ModelSet(platform.DesiredVersion{Model: "m", Version: n.listed, Listed: true})
	if n.listed == 2 {
		close(n.done)
	}
}

func (n *namingHandler) Apply([]store.Event) {}

// newIdleView returns a view that knows nothing yet, and its targets.
func newIdleView() (*view, *fleet.Fleet) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New("z")
	v := &view{fleet: f, customerLimiter: testLimiter(), targetLimiter: testLimiter(), log: log, oldWeightsLimit: 18 * time.Second}
	v.keys, v.versionMarks, v.rejected = newSystemKeys(), map[string]*versionMark{}, newRejectedEntries(prometheus.NewRegistry(), log)
	v.controller = rollout.NewController("n", rollout.Config{Fleet: f}, log)
	return v, f
}

// Guards against weights found in a listing counting as the maximum age when the store drops
// its history: all runners with older weights were out of use two seconds later.
func TestListedWeightsAgeFromLastConfirmation(t *testing.T) {
	v, f := newIdleView()
	handler := &namingHandler{view: v, done: make(chan struct{})}
	v.follower = follow.New(&compactingStore{}, "", follow.Options{}, handler, v.log)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go v.follower.Run(ctx)
	<-handler.done
	now := time.Now()
	if behind := f.StaleFor("m", 1, now); behind > 10*time.Second {
		t.Errorf("weights 2 count as named %v ago", behind)
	}
	if behind := f.StaleFor("m", 0, now); behind < 16*time.Second {
		t.Errorf("weights 1, found by the first listing, count as named only %v ago", behind)
	}
}

// Guards against weights whose age counts from receipt: a node in its batch delay learns of
// them 0.26 s late, and requests started on older weights after the bound.
func TestWeightsAgeIncludesChangeLag(t *testing.T) {
	v, f := newIdleView()
	v.ModelSet(platform.DesiredVersion{Model: "m", Version: 2})
	if behind := f.StaleFor("m", 1, time.Now()); behind < batchDelay {
		t.Errorf("weights received just now count as named %v ago; the batch delay alone is %v", behind, batchDelay)
	}
}
