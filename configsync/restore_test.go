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

// Guards against changes that a process, or the neighbour that fetches from it, never applies or loses
// because the service came back from an older copy and gave their revisions out again.
func TestCarrierFollowsReplacedHistory(t *testing.T) {
	const lost = 5
	for name, test := range map[string]struct {
		// blind clients do not notice by themselves.
		blind bool
		// written is how many changes there are before the carrier looks.
		written int
	}{
		"blind false": {false, 1}, "blind true": {true, 1}, "revision passed": {false, lost + 2}, "blind, revision passed": {true, lost + 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := history.NewService()
			operator, client := newTestOperator(s), s.NewClient()
			client.Blind = test.blind
			carrier, neighbour := newTestCarrierWith(client), newTestCarrier(s)
			saved := s.Copy()
			for i := range lost {
				operator.put(t, resource.KindModel, fmt.Sprint("lost-", i), resource.Model{WeightsVersion: "v1"})
			}
			carrier.sync()
			neighbour.fetchFrom(t, carrier)
			s.Restore(saved)
			for i := range test.written {
				operator.put(t, resource.KindModel, fmt.Sprint("new-", i), resource.Model{WeightsVersion: "v2"})
			}
			carrier.sync()
			neighbour.fetchFrom(t, carrier)
			operator.put(t, resource.KindModel, "newer", resource.Model{WeightsVersion: "v2"})
			carrier.sync()
			neighbour.fetchFrom(t, carrier)
			for who, f := range map[string]*Follower{"carrier": carrier, "neighbour": neighbour} {
				models := f.State().Snapshot.Models
				if _, ok := models["newer"]; !ok {
					t.Errorf("%s at %d: %v", who, f.Revision(), models)
				}
				for i := range test.written {
					if _, ok := models[fmt.Sprint("new-", i)]; !ok {
						t.Errorf("%s at %d: change %d is missing: %v", who, f.Revision(), i, models)
					}
				}
				for i := range lost {
					if _, ok := models[fmt.Sprint("lost-", i)]; !ok {
						t.Errorf("%s at %d: the acknowledged change %d is gone: %v", who, f.Revision(), i, models)
					}
				}
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

// fetchFrom brings a follower to a neighbour's state, if that is newer, as fetch does.
func (f *Follower) fetchFrom(t fataler, neighbour *Follower) {
	state, theirs := f.State(), neighbour.State()
	if theirs.Snapshot.Revision <= state.Snapshot.Revision {
		return
	}
	data, err := theirs.encodeFor(state.Snapshot.Revision, state.VMsHash)
	if err != nil {
		t.Fatal(err)
	}
	var u update
	if err := json.Unmarshal(data, &u); err != nil {
		t.Fatal(err)
	}
	if err := f.applyUpdate(state, u); err != nil {
		t.Fatal(err)
	}
}

// seenVersions checks that no version of a resource at a follower is followed by an older one.
type seenVersions struct {
	changed map[string]time.Time
	deleted map[string]time.Time
}

func (s *seenVersions) check(t *rapid.T, who string, f *Follower, names []string) {
	for _, name := range names {
		r, ok := f.State().Snapshot.Resources[resource.Key(resource.KindModel, name)]
		if ok && !s.deleted[name].IsZero() && !r.Changed.After(s.deleted[name]) {
			t.Fatalf("%s: %s of %v, deleted", who, name, r.Changed)
		}
		if seen, known := s.changed[name]; known && (!ok || r.Changed.Before(seen)) {
			t.Fatalf("%s: %s of %v after %v", who, name, r.Changed, seen)
		}
		if ok {
			s.changed[name] = r.Changed
		}
	}
}

// delete notes that a follower knows of a deletion.
func (s *seenVersions) delete(name string) {
	if changed, known := s.changed[name]; known {
		s.deleted[name] = changed
		delete(s.changed, name)
	}
}

func newSeenVersions() *seenVersions {
	return &seenVersions{changed: map[string]time.Time{}, deleted: map[string]time.Time{}}
}

// Guards against any order of changes, copies, restored copies and fetches after which a process has an
// older version of a resource in force than before, a deleted one again, or not what was written last.
func TestStateOverReplacedHistories(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := history.NewService()
		operator, client := newTestOperator(s), s.NewClient()
		// Where nothing shows that the history was replaced, what it lacks counts as deleted.
		client.Blind = rapid.Bool().Draw(t, "blind")
		carrier, neighbour := newTestCarrierWith(client), newTestCarrier(s)
		atCarrier, atNeighbour := newSeenVersions(), newSeenVersions()
		saved := s.Copy()
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0, 1:
				operator.put(t, resource.KindModel, name, resource.Model{WeightsVersion: fmt.Sprint(step)})
			case 2:
				// Both know of the deletion before the next restored copy.
				carrier.sync()
				neighbour.fetchFrom(t, carrier)
				if !client.Blind {
					atCarrier.check(t, "carrier", carrier, names)
					atNeighbour.check(t, "neighbour", neighbour, names)
				}
				operator.delete(t, resource.KindModel, name)
				carrier.sync()
				neighbour.fetchFrom(t, carrier)
				if _, err := operator.client.Get(context.Background(), resource.Key(resource.KindModel, name)); err == nil {
					t.Fatal("not deleted")
				}
				if _, kept := carrier.State().Snapshot.Resources[resource.Key(resource.KindModel, name)]; !kept {
					atCarrier.delete(name)
					atNeighbour.delete(name)
				}
			case 3:
				saved = s.Copy()
			case 4:
				s.Restore(saved)
				carrier.sync()
			case 5:
				neighbour.fetchFrom(t, carrier)
			default:
				carrier.sync()
			}
			if !client.Blind {
				atCarrier.check(t, "carrier", carrier, names)
				atNeighbour.check(t, "neighbour", neighbour, names)
			}
		}
		for _, name := range names {
			operator.put(t, resource.KindModel, name, resource.Model{WeightsVersion: "last"})
		}
		carrier.sync()
		neighbour.fetchFrom(t, carrier)
		for who, f := range map[string]*Follower{"carrier": carrier, "neighbour": neighbour} {
			for _, name := range names {
				if got := f.State().Snapshot.Models[name].WeightsVersion; got != "last" {
					t.Fatalf("%s: %s has %q at %d", who, name, got, f.Revision())
				}
			}
		}
	})
}
