package resource

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func newResource(kind Kind, name string, version int64, spec string) Resource {
	return Resource{Kind: kind, Name: name, Version: version, Spec: json.RawMessage(spec)}
}

func newTestSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	s, err := Build(5, []Resource{
		newResource(KindModel, "m", 1, `{"weights_version":"v1"}`),
		newResource(KindService, "s", 2, `{}`),
		newResource(KindCustomer, "a", 3, `{"key_hashes":["`+strings.Repeat("a", 64)+`"]}`),
		newResource(KindTarget, "t", 4, `{"model":"m","agent_url":"http://10.0.0.1:1","data_centre":"d"}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestValidate(t *testing.T) {
	s := newTestSnapshot(t)
	for _, test := range []struct {
		name string
		r    Resource
		want []string
	}{
		{"good target", newResource(KindTarget, "t2", 0, `{"service":"s","agent_url":"http://10.0.0.1:1","data_centre":"d"}`), nil},
		{"every mistake at once", newResource(KindTarget, "T2", 0, `{"model":"none","service":"s","agent_url":"nonsense"}`),
			[]string{"name: found", "model, service: found", `unknown model "none"`, "agent_url: found", "data_centre: found"}},
		{"unknown field", newResource(KindModel, "m2", 0, `{"weigths_version":"v1"}`), []string{"weigths_version"}},
		{"someone else's key", newResource(KindCustomer, "b", 0, `{"key_hashes":["`+strings.Repeat("a", 64)+`"]}`), []string{`a key of customer "a"`}},
		{"short key hash", newResource(KindCustomer, "b", 0, `{"key_hashes":["abc"]}`), []string{"64 hex digits"}},
		{"unknown policy", newResource(KindPreference, "p", 0, `{"policy":"best"}`), []string{"policy: found"}},
		{"bad priority", newResource(KindCustomer, "b", 0, `{"key_hashes":["`+strings.Repeat("b", 64)+`"],"priority":9}`), []string{"priority: found 9"}},
	} {
		err := Validate(test.r, s)
		if (err == nil) != (len(test.want) == 0) {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %q does not say %q", test.name, err, want)
			}
		}
	}
	if InUse(KindModel, "m", s) == nil || InUse(KindService, "s", s) != nil {
		t.Error("a model with a target is in use, a service without one is not")
	}
}

// Guards against a process that misses an accepted change, and so applies old
// rules, after receiving deltas from any revision and in any order.
func TestDeltasBringTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := Empty(), Empty()
		revision := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
			d := Delta{Base: leader.Revision, Revision: revision}
			if rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				d.Deleted = []Deletion{{Key: Key(KindService, name), Revision: revision}}
			} else {
				d.Changed = []Resource{newResource(KindService, name, revision, `{}`)}
			}
			leader, _ = leader.With(d)
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				follower, _ = follower.With(leader.Since(follower.Revision))
				if err := compareSnapshots(leader, follower); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func compareSnapshots(a, b *Snapshot) error {
	if a.Revision != b.Revision || len(a.Resources) != len(b.Resources) {
		return fmt.Errorf("revisions %d and %d, %d and %d resources", a.Revision, b.Revision, len(a.Resources), len(b.Resources))
	}
	for key, r := range a.Resources {
		if b.Resources[key].Version != r.Version {
			return fmt.Errorf("%s has versions %d and %d", key, r.Version, b.Resources[key].Version)
		}
	}
	return nil
}

// Guards against one undecodable resource making the others unavailable.
func TestBuildLeavesBrokenOut(t *testing.T) {
	s, err := Build(2, []Resource{newResource(KindModel, "good", 1, `{"weights_version":"v1"}`), newResource(KindModel, "bad", 2, `{]`)})
	if err == nil || len(s.Models) != 1 {
		t.Errorf("%d models, error %v", len(s.Models), err)
	}
}
