package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"acaciakeel/internal/standin/history"
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
