package entry

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"acaciakeel/configsync"
	"acaciakeel/internal/standin/history"
	"acaciakeel/operator"
	"acaciakeel/refusal"
	"acaciakeel/resource"
	"acaciakeel/store"
)

// Guards against an operator who repeats a refused write because the message does not say that the
// resource, as it was read, is gone with the copy from which the service came back.
func TestWriteOfEarlierHistorySaysThatItWasReplaced(t *testing.T) {
	s := history.NewService()
	e := newTestEntry(t, nil)
	e.store = s.NewClient()
	saved := s.Copy()
	r := resource.Resource{Kind: resource.KindModel, Name: "m", ChangeID: "1", Spec: json.RawMessage(`{"weights_version":"v1"}`)}
	lost, err := e.writeResource(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(saved)
	check := func(t *testing.T, err error) {
		t.Helper()
		if refused := refusal.From(err); refused.Kind != refusal.Conflict || !strings.Contains(refused.Error(), "restored") {
			t.Errorf("refused with %s: %v", refused.Kind, refused)
		}
	}
	t.Run("missing", func(t *testing.T) {
		changed := r
		changed.Version, changed.ChangeID = lost, "2"
		_, err := e.writeResource(t.Context(), changed)
		check(t, err)
	})
	r.ChangeID = "3"
	if _, err := e.writeResource(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	t.Run("written again", func(t *testing.T) {
		changed := r
		changed.Version, changed.ChangeID = lost, "4"
		_, err := e.writeResource(t.Context(), changed)
		check(t, err)
	})
	t.Run("deleted", func(t *testing.T) {
		_, err := e.deleteKey(t.Context(), resource.Key(r.Kind, r.Name), lost)
		check(t, err)
	})
	if got, err := e.store.Get(t.Context(), resource.Key(r.Kind, r.Name)); err != nil || got.Revision.History() != 1 || got.Revision <= store.Position(lost) {
		t.Errorf("found at %d, %v", got.Revision, err)
	}
}

// Guards against an operator who cannot change what was kept over a restored copy: a resource that the
// service lost, and a deleted one that is back in it and withheld.
func TestOperatorsSettleWhatWasRestored(t *testing.T) {
	s := history.NewService()
	client := s.NewClient()
	value, _ := json.Marshal(resource.Resource{Kind: resource.KindModel, Name: "withheld", ChangeID: "1", Spec: json.RawMessage(`{"weights_version":"v1"}`)})
	version, err := client.Put(t.Context(), resource.Key(resource.KindModel, "withheld"), value, 0, "")
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := resource.Build(int64(store.At(1, 1001)), []resource.Resource{
		{Kind: resource.KindModel, Name: "lost", ChangeID: "2", Unsaved: true, Spec: json.RawMessage(`{"weights_version":"v1"}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshot.Withheld[resource.Key(resource.KindModel, "withheld")] = int64(version)
	// The responses need not wait until the changes are in force here.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	saved := s.Copy()
	for _, name := range []string{"lost", "withheld"} {
		req := resourceRequest{kind: resource.KindModel, name: name}
		for operation, do := range map[string]func(*Entry) (any, error){
			"delete": func(e *Entry) (any, error) { return e.deleteEndpoint(ctx, req) },
			"put": func(e *Entry) (any, error) {
				written := req
				written.change = operator.Change{ChangeID: "3", Spec: json.RawMessage(`{"weights_version":"v2"}`)}
				return e.putEndpoint(ctx, written)
			},
		} {
			t.Run(operation+" "+name, func(t *testing.T) {
				s.Restore(saved)
				e := newTestEntry(t, nil)
				e.store = s.NewClient()
				e.table.Store(newRoutingTable(&configsync.State{Snapshot: snapshot}))
				status, _ := e.statusEndpoint(ctx, nil)
				if st := status.(operator.Status); st.History != 1 || len(st.Unsaved) != 1 || len(st.Withheld) != 1 {
					t.Errorf("status %+v", st)
				}
				if _, err := do(e); err != nil {
					t.Fatal(err)
				}
				_, err := e.store.Get(t.Context(), resource.Key(resource.KindModel, name))
				if there := err == nil; there != (operation == "put") {
					t.Errorf("in the service: %t", there)
				}
				events, _ := e.store.Watch(ctx, resource.KeyPrefix, version, 0)
				if len(events.Events) == 0 {
					t.Error("no process learns of it")
				}
			})
		}
	}
}
