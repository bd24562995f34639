package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/follow"
	"acaciakeel/platform"
	"acaciakeel/rollout"
	"acaciakeel/store"
)

// forgetful is a store that drops its history once, while weights are named.
type forgetful struct {
	store.Store
	lists, watches int
}

func (s *forgetful) List(context.Context, string) (store.Listing, error) {
	s.lists++
	return store.Listing{Revision: int64(s.lists)}, nil
}

func (s *forgetful) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (store.Events, error) {
	s.watches++
	if s.watches == 1 {
		return store.Events{Revision: after, Compacted: true}, nil
	}
	<-ctx.Done()
	return store.Events{}, ctx.Err()
}

// naming tells a view of weights 1 at the first listing and of 2 at the second.
type naming struct {
	view   *view
	listed int64
	done   chan struct{}
}

func (n *naming) Reset([]store.Entry, int64) {
	n.listed++
	n.view.ModelSet(platform.DesiredVersion{Model: "m", Version: n.listed, Listed: true})
	if n.listed == 2 {
		close(n.done)
	}
}

func (n *naming) Apply([]store.Event) {}

// quietView returns a view that knows nothing yet, and its targets.
func quietView() (*view, *fleet.Fleet) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet.New("z")
	v := &view{fleet: f, limitBook: testBook(), targetBook: testBook(), log: log, oldWeights: 18 * time.Second}
	v.holder = rollout.NewController("n", rollout.Config{Fleet: f}, log)
	return v, f
}

// The store drops its history as weights are named, and the entries find them in a
// listing. A listing does not say since when; taken for as old as may be, all
// runners with the weights before were out of use two seconds later, and of the
// next requests none was served. But these entries had read the store a moment ago.
func TestWeightsFoundInAListingAreNoOlderThanTheViewBefore(t *testing.T) {
	v, f := quietView()
	n := &naming{view: v, done: make(chan struct{})}
	v.follower = follow.New(&forgetful{}, "", follow.Options{}, n, v.log)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go v.follower.Run(ctx)
	<-n.done
	now := time.Now()
	if behind := f.StaleFor("m", 1, now); behind > 10*time.Second {
		t.Errorf("weights 2 count as wanted for %v", behind)
	}
	if behind := f.StaleFor("m", 0, now); behind < 16*time.Second {
		t.Errorf("weights 1, found by the first listing, count as wanted for %v only", behind)
	}
}

// Weights are named a moment after other news. The entry pauses before it asks the store
// again and hears of them 0.26 s late; counted from then, requests were sent to targets
// with older weights for as much longer, and began after the bound.
func TestANamingCountsFromWhenItMayHaveBeenAcknowledged(t *testing.T) {
	v, f := quietView()
	v.ModelSet(platform.DesiredVersion{Model: "m", Version: 2})
	if behind := f.StaleFor("m", 1, time.Now()); behind < gather {
		t.Errorf("weights that were heard of just now count as wanted for %v; the pause alone is %v", behind, gather)
	}
}
