package resource

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func res(kind Kind, name string, version int64, spec string) Resource {
	return Resource{Kind: kind, Name: name, Version: version, Spec: json.RawMessage(spec)}
}

func base(t *testing.T) *Snapshot {
	t.Helper()
	s, err := Build(5, []Resource{
		res(KindModel, "m", 1, `{"weights_version":"v1"}`),
		res(KindService, "s", 2, `{}`),
		res(KindCustomer, "a", 3, `{"key_hashes":["`+strings.Repeat("a", 64)+`"]}`),
		res(KindTarget, "t", 4, `{"model":"m","agent_url":"http://10.0.0.1:1","data_centre":"d"}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestValidate(t *testing.T) {
	s := base(t)
	for _, test := range []struct {
		name string
		r    Resource
		want []string
	}{
		{"good target", res(KindTarget, "t2", 0, `{"service":"s","agent_url":"http://10.0.0.1:1","data_centre":"d"}`), nil},
		{"every mistake at once", res(KindTarget, "T2", 0, `{"model":"none","service":"s","agent_url":"nonsense"}`),
			[]string{"name: found", "model, service: found", `unknown model "none"`, "agent_url: found", "data_centre: found"}},
		{"unknown field", res(KindModel, "m2", 0, `{"weigths_version":"v1"}`), []string{"weigths_version"}},
		{"someone else's key", res(KindCustomer, "b", 0, `{"key_hashes":["`+strings.Repeat("a", 64)+`"]}`), []string{`a key of customer "a"`}},
		{"short key hash", res(KindCustomer, "b", 0, `{"key_hashes":["abc"]}`), []string{"64 hex digits"}},
		{"unknown policy", res(KindPreference, "p", 0, `{"policy":"best"}`), []string{"policy: found"}},
		{"bad priority", res(KindCustomer, "b", 0, `{"key_hashes":["`+strings.Repeat("b", 64)+`"],"priority":9}`), []string{"priority: found 9"}},
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

// An operator whose accepted change went missing at some process would see
// requests go by old rules there. Whatever the order in which a process
// learns of changes, and from whichever revision, deltas must bring it to the
// same resources as those of the process that it learns from.
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
				d.Changed = []Resource{res(KindService, name, revision, `{}`)}
			}
			leader, _ = leader.With(d)
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				follower, _ = follower.With(leader.Since(follower.Revision))
				if err := same(leader, follower); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func same(a, b *Snapshot) error {
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

// One broken resource must not take the others down.
func TestBuildLeavesBrokenOut(t *testing.T) {
	s, err := Build(2, []Resource{res(KindModel, "good", 1, `{"weights_version":"v1"}`), res(KindModel, "bad", 2, `{]`)})
	if err == nil || len(s.Models) != 1 {
		t.Errorf("%d models, error %v", len(s.Models), err)
	}
}
