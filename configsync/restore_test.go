package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"acaciakeel/internal/standin/history"
	"acaciakeel/link"
	"acaciakeel/resource"
	"acaciakeel/store"
	"acaciakeel/vm"
)

// noVMs is a directory without VMs.
type noVMs struct{}

func (noVMs) VMs(context.Context) ([]vm.VM, error) { return nil, nil }

// operatorClock gives each change its time.
type operatorClock struct{ now time.Time }

func (c *operatorClock) next() time.Time {
	c.now = c.now.Add(time.Second)
	return c.now
}

type fataler interface {
	Helper()
	Fatal(args ...any)
}

// testOperator writes resources as an entry does.
type testOperator struct {
	client *history.Client
	clock  operatorClock
}

func newTestOperator(s *history.Service) *testOperator {
	return &testOperator{client: s.NewClient(), clock: operatorClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}}
}

func (o *testOperator) put(t fataler, kind resource.Kind, name string, spec any) {
	t.Helper()
	data, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	at := o.clock.next()
	value, err := json.Marshal(resource.Resource{Kind: kind, Name: name, ChangeID: at.String(), Changed: at, Spec: data})
	if err != nil {
		t.Fatal(err)
	}
	key := resource.Key(kind, name)
	old, _ := o.client.Get(context.Background(), key)
	if _, err := o.client.Put(context.Background(), key, value, old.Revision, ""); err != nil {
		t.Fatal(err)
	}
}

func (o *testOperator) delete(t fataler, kind resource.Kind, name string) {
	t.Helper()
	key := resource.Key(kind, name)
	old, err := o.client.Get(context.Background(), key)
	if err != nil {
		return
	}
	if _, err := o.client.Delete(context.Background(), key, old.Revision); err != nil {
		t.Fatal(err)
	}
}

func newTestCarrier(s *history.Service) *Follower {
	return newTestCarrierWith(s.NewClient())
}

func newTestCarrierWith(c *history.Client) *Follower {
	c.NoWait = true
	return NewFollower(Config{Self: vm.VM{Name: "self"}, Store: c, Directory: noVMs{}, Links: link.NewPool(link.Options{})})
}

// sync runs rounds of a carrier.
func (f *Follower) sync() {
	for range 4 {
		_ = f.syncResources(context.Background())
	}
}

// Guards against changes that a process never applies because the service came back from an older
// copy and gave them revisions that the process had passed.
func TestCarrierFollowsReplacedHistory(t *testing.T) {
	for _, blind := range []bool{false, true} {
		t.Run(fmt.Sprint("blind ", blind), func(t *testing.T) {
			s := history.NewService()
			operator, client := newTestOperator(s), s.NewClient()
			client.Blind = blind
			carrier := newTestCarrierWith(client)
			saved := s.Copy()
			for i := range 5 {
				operator.put(t, resource.KindModel, fmt.Sprint("lost-", i), resource.Model{WeightsVersion: "v1"})
			}
			carrier.sync()
			s.Restore(saved)
			operator.put(t, resource.KindModel, "new", resource.Model{WeightsVersion: "v2"})
			carrier.sync()
			if _, ok := carrier.State().Snapshot.Models["new"]; !ok {
				t.Fatalf("at %d: %v", carrier.Revision(), carrier.State().Snapshot.Models)
			}
			operator.put(t, resource.KindModel, "newer", resource.Model{WeightsVersion: "v2"})
			carrier.sync()
			if _, ok := carrier.State().Snapshot.Models["newer"]; !ok {
				t.Fatalf("at %d: %v", carrier.Revision(), carrier.State().Snapshot.Models)
			}
		})
	}
}

// Guards against what was acknowledged going out of force, or what was withdrawn coming back into
// it, with a copy of the service from before: a key, a target that leaves, an added model.
func TestAcknowledgedChangesOutlastOlderCopy(t *testing.T) {
	s := history.NewService()
	operator, carrier := newTestOperator(s), newTestCarrier(s)
	operator.put(t, resource.KindCustomer, "withdrawn", resource.Customer{KeyHashes: []string{"a"}})
	operator.put(t, resource.KindCustomer, "changed", resource.Customer{KeyHashes: []string{"b"}})
	operator.put(t, resource.KindTarget, "leaving", resource.Target{Model: "m", AgentURL: "http://127.0.0.1:1", DataCentre: "d"})
	saved := s.Copy()
	carrier.sync()
	operator.delete(t, resource.KindCustomer, "withdrawn")
	operator.put(t, resource.KindCustomer, "changed", resource.Customer{KeyHashes: []string{"c"}})
	operator.put(t, resource.KindTarget, "leaving", resource.Target{Model: "m", AgentURL: "http://127.0.0.1:1", DataCentre: "d", Leaving: true})
	operator.put(t, resource.KindModel, "added", resource.Model{WeightsVersion: "v1"})
	carrier.sync()
	before := carrier.Revision()
	s.Restore(saved)
	carrier.sync()
	if carrier.Revision() <= before {
		t.Errorf("still at %d", carrier.Revision())
	}
	snapshot := carrier.State().Snapshot
	for hash, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, _, ok := snapshot.CustomerByKeyHash(hash); ok != want {
			t.Errorf("key %s accepted: %t", hash, ok)
		}
	}
	if _, ok := snapshot.Models["added"]; !ok || !snapshot.Targets["leaving"].Leaving {
		t.Errorf("models %v, targets %v", snapshot.Models, snapshot.Targets)
	}
	operator.put(t, resource.KindCustomer, "withdrawn", resource.Customer{KeyHashes: []string{"a"}})
	operator.put(t, resource.KindTarget, "leaving", resource.Target{Model: "m", AgentURL: "http://127.0.0.1:1", DataCentre: "d"})
	carrier.sync()
	snapshot = carrier.State().Snapshot
	if _, _, ok := snapshot.CustomerByKeyHash("a"); !ok || snapshot.Targets["leaving"].Leaving {
		t.Errorf("what was written again is not in force: customers %v, targets %v", snapshot.Customers, snapshot.Targets)
	}
}

// serveState serves a follower's state to neighbours and returns its URL.
func serveState(t *testing.T, f *Follower) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(NewServer(f).Handler())
	server := link.NewServer(mux)
	go server.Serve(l) //nolint:errcheck // it ends when the server is closed
	t.Cleanup(func() { server.Close() })
	return "http://" + l.Addr().String()
}

// Guards against a process that keeps to the state of an earlier history, because its revision is
// higher, and misses what its carrier has.
func TestNeighbourTakesStateOfLaterHistory(t *testing.T) {
	s := history.NewService()
	operator, carrier := newTestOperator(s), newTestCarrier(s)
	client := s.NewClient()
	neighbour := newTestCarrierWith(client)
	url := serveState(t, carrier)
	operator.put(t, resource.KindCustomer, "withdrawn", resource.Customer{KeyHashes: []string{"a"}})
	saved := s.Copy()
	for i := range 5 {
		operator.put(t, resource.KindModel, fmt.Sprint("lost-", i), resource.Model{WeightsVersion: "v1"})
	}
	carrier.sync()
	if err := neighbour.fetch(t.Context(), url, 0); err != nil {
		t.Fatal(err)
	}
	operator.delete(t, resource.KindCustomer, "withdrawn")
	carrier.sync()
	s.Restore(saved)
	operator.put(t, resource.KindModel, "new", resource.Model{WeightsVersion: "v2"})
	carrier.sync()
	if err := neighbour.fetch(t.Context(), url, 0); err != nil {
		t.Fatal(err)
	}
	snapshot := neighbour.State().Snapshot
	if _, ok := snapshot.Models["new"]; !ok || neighbour.Revision() != carrier.Revision() {
		t.Errorf("at %d, the carrier at %d: %v", neighbour.Revision(), carrier.Revision(), snapshot.Models)
	}
	if _, _, ok := snapshot.CustomerByKeyHash("a"); ok {
		t.Error("a withdrawn key is accepted again")
	}
	// Its own client has to agree, so that it can write on what it has.
	position, err := client.Put(t.Context(), "k", nil, 0, "")
	if err != nil || position.History() != store.Position(neighbour.Revision()).History() {
		t.Errorf("written at %d of history %d, %v", position, position.History(), err)
	}
}

// Guards against a carrier that hears of a later history and goes on watching the earlier one.
func TestHintOfLaterHistoryIsFollowed(t *testing.T) {
	s := history.NewService()
	operator, carrier := newTestOperator(s), newTestCarrier(s)
	operator.put(t, resource.KindModel, "m", resource.Model{WeightsVersion: "v1"})
	carrier.sync()
	carrier.Hint(int64(store.At(3, 1)))
	carrier.sync()
	if h := store.Position(carrier.Revision()).History(); h != 3 {
		t.Errorf("in history %d", h)
	}
}

// unnumbered is a client that does not number histories; it counts listings.
type unnumbered struct {
	store.Store
	listings int
}

func (u *unnumbered) List(ctx context.Context, prefix string) (store.Listing, error) {
	u.listings++
	return u.Store.List(ctx, prefix)
}

func (*unnumbered) AdvanceHistory(int) {}

// Guards against a loop of listings without a pause, at a service that has just come back, where the
// client goes on counting them as of the earlier history.
func TestListingThatDoesNotFollowIsDelayed(t *testing.T) {
	s := history.NewService()
	operator, client := newTestOperator(s), s.NewClient()
	client.Blind = true
	carrier := newTestCarrierWith(client)
	counted := &unnumbered{Store: client}
	carrier.config.Store = counted
	saved := s.Copy()
	operator.put(t, resource.KindModel, "m", resource.Model{WeightsVersion: "v1"})
	carrier.sync()
	s.Restore(saved)
	carrier.synced, counted.listings = false, 0
	if err := carrier.syncResources(t.Context()); !errors.Is(err, ErrOldRevision) || counted.listings > 2 {
		t.Errorf("%d listings, then %v", counted.listings, err)
	}
	if _, ok := carrier.State().Snapshot.Models["m"]; !ok {
		t.Error("the state in force is gone")
	}
}

// Guards against any order of changes, copies and restored copies after which a process has an
// older version of a resource in force than before, or not what was written last.
func TestStateOverReplacedHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := history.NewService()
		operator, client := newTestOperator(s), s.NewClient()
		client.Blind = rapid.Bool().Draw(t, "blind")
		carrier := newTestCarrierWith(client)
		saved := s.Copy()
		names := []string{"a", "b", "c"}
		seen := map[string]time.Time{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1:
				operator.put(t, resource.KindModel, name, resource.Model{WeightsVersion: fmt.Sprint(step)})
			case 2:
				// A deletion is known only where it is seen before the next restored copy.
				operator.delete(t, resource.KindModel, name)
				carrier.sync()
				delete(seen, name)
			case 3:
				saved = s.Copy()
			case 4:
				s.Restore(saved)
				carrier.sync()
			default:
				carrier.sync()
			}
			for _, name := range names {
				r, ok := carrier.State().Snapshot.Resources[resource.Key(resource.KindModel, name)]
				// Where nothing shows that the history was replaced, what it lacks counts as deleted.
				if !client.Blind && (!ok && !seen[name].IsZero() || r.Changed.Before(seen[name])) {
					t.Fatalf("%s of %v after %v", name, r.Changed, seen[name])
				}
				if ok {
					seen[name] = r.Changed
				}
			}
		}
		for _, name := range names {
			operator.put(t, resource.KindModel, name, resource.Model{WeightsVersion: "last"})
		}
		carrier.sync()
		for _, name := range names {
			if got := carrier.State().Snapshot.Models[name].WeightsVersion; got != "last" {
				t.Fatalf("%s has %q at %d", name, got, carrier.Revision())
			}
		}
	})
}
