package resource

import (
	"encoding/json"
	"testing"
	"time"

	"acaciakeel/store"
)

func changed(name string, version store.Position, minute int) Resource {
	at := time.Date(2026, 1, 1, 0, minute, 0, 0, time.UTC)
	return Resource{Kind: KindModel, Name: name, Version: int64(version), ChangeID: at.String(), Changed: at, Spec: json.RawMessage(`{"weights_version":"v"}`)}
}

// Guards against a later listing, or a neighbour's state, that ends what was kept of an earlier history.
func TestListingAgainKeepsWhatTheServiceLost(t *testing.T) {
	s, _ := Build(int64(store.At(0, 9)), []Resource{changed("withdrawn", 3, 1), changed("lost", 4, 2), changed("older", 6, 4)})
	s, _ = s.With(Delta{Base: s.Revision, Revision: 10, Deleted: []Deletion{{Key: Key(KindModel, "withdrawn"), Revision: 10}}})
	listed := []Resource{changed("withdrawn", store.At(1, 3), 1), changed("older", store.At(1, 2), 3)}
	s, _ = s.With(Delta{Full: true, Revision: int64(store.At(1, 5)), Changed: listed})
	again, _ := s.With(Delta{Full: true, Revision: int64(store.At(1, 5)), Changed: listed})
	neighbour, _ := Empty().With(again.Since(0))
	for name, state := range map[string]*Snapshot{"first": s, "listed again": again, "neighbour": neighbour} {
		if _, ok := state.Models["withdrawn"]; ok || state.Withheld[Key(KindModel, "withdrawn")] != int64(store.At(1, 3)) {
			t.Errorf("%s: withdrawn: %v, withheld %v", name, ok, state.Withheld)
		}
		lost, older := state.Resources[Key(KindModel, "lost")], state.Resources[Key(KindModel, "older")]
		if !lost.Unsaved || lost.Version != 0 || !older.Unsaved || older.Version != int64(store.At(1, 2)) || older.Changed.Minute() != 4 {
			t.Errorf("%s: lost %+v, older %+v", name, lost, older)
		}
	}
	written, _ := again.With(Delta{Base: again.Revision, Revision: int64(store.At(1, 8)),
		Changed: []Resource{changed("lost", store.At(1, 6), 5), changed("withdrawn", store.At(1, 7), 6)},
		Deleted: []Deletion{{Key: Key(KindModel, "older"), Revision: int64(store.At(1, 8))}}})
	if len(written.Unsaved()) != 0 || len(written.Withheld) != 0 || len(written.Models) != 2 {
		t.Errorf("written again: unsaved %v, withheld %v, models %v", written.Unsaved(), written.Withheld, written.Models)
	}
}

// Guards against a withdrawn resource that is in force again at a process that keeps it, because it
// did not see the withdrawal, although its neighbour did.
func TestWithdrawalIsLearntFromNeighbour(t *testing.T) {
	key := Key(KindModel, "withdrawn")
	copied := Delta{Full: true, Revision: int64(store.At(1, 4)), Changed: []Resource{changed("withdrawn", store.At(1, 3), 1)}}
	behind, _ := Build(5, []Resource{changed("withdrawn", 3, 1)})
	for name, deltas := range map[string][]Delta{
		"before, seen":         {{Base: 5, Revision: 6, Deleted: []Deletion{{Key: key, Revision: 6}}}, copied},
		"before, not listed":   {{Full: true, Revision: 6}, copied},
		"in the new history":   {copied, {Base: copied.Revision, Revision: copied.Revision + 1, Deleted: []Deletion{{Key: key, Revision: copied.Revision + 1}}}},
		"in the new, unlisted": {copied, {Full: true, Revision: copied.Revision + 1}},
	} {
		t.Run(name, func(t *testing.T) {
			ahead := behind
			for _, d := range deltas {
				ahead, _ = ahead.With(d)
			}
			next, _ := behind.With(ahead.Since(behind.Revision))
			for who, s := range map[string]*Snapshot{"ahead": ahead, "behind": next} {
				if _, ok := s.Models["withdrawn"]; ok {
					t.Errorf("in force at the one %s", who)
				}
			}
		})
	}
}

// Guards against a change that counts as older than the one before because its writer's clock is
// behind.
func TestChangeTimesRise(t *testing.T) {
	s, _ := Build(5, []Resource{changed("m", 3, 30)})
	key := Key(KindModel, "m")
	now := changed("m", 4, 10).Changed
	if next := s.ChangeTime(key, now); !next.After(s.Resources[key].Changed) {
		t.Errorf("changed at %v", next)
	}
	s, _ = s.With(Delta{Base: 5, Revision: 6, Deleted: []Deletion{{Key: key, Revision: 6}}})
	if next := s.ChangeTime(key, now); next.Minute() != 30 {
		t.Errorf("created again at %v", next)
	}
}
