package fleet

import (
	"testing"
	"time"

	"acaciakeel/prefix"
)

var start = time.Unix(1000, 0)

func runner(id string, weights int64) Runner {
	return Runner{ID: id, Service: "lm", Address: id + ":1", Zone: "z", Slots: 8, Weights: map[string]int64{"m": weights}}
}

func query() Query {
	return Query{
		Service:       "lm",
		Model:         "m",
		OldWeightsFor: 6 * time.Second,
		Chain: func(weights int64) prefix.Chain {
			hash := uint64(weights) * 1000
			shared := prefix.Boundary{Hash: hash + 1, Tokens: 6000}
			own := prefix.Boundary{Hash: hash + 2, Tokens: 9000}
			return prefix.Chain{Tokens: 9000, Levels: []prefix.Boundary{shared}, Boundaries: []prefix.Boundary{shared, own}}
		},
	}
}

// Weights 2 are named, and 3 five seconds later, before a runner has got rid of
// version 1. Each naming has its own bound: eight seconds after the first,
// nothing may begin on version 1, however fresh the second is. Users saw
// answers of weights that had been replaced long ago.
func TestOldWeightsCountFromTheFirstNamingMissed(t *testing.T) {
	f := New("z")
	f.Put(runner("old", 1))
	f.Name("m", 2, start)
	f.Name("m", 3, start.Add(5*time.Second))
	if _, ok := f.Choose(query(), start.Add(5900*time.Millisecond)); !ok {
		t.Error("a runner within the bound was not chosen")
	}
	if c, ok := f.Choose(query(), start.Add(6100*time.Millisecond)); ok {
		t.Errorf("chose %s, whose weights have been replaced for over the bound", c.Runner.ID)
	}
}

// Versions never go back, whatever a late listing says of a runner.
func TestWeightsNeverGoBack(t *testing.T) {
	f := New("z")
	f.Name("m", 3, start)
	f.Put(runner("a", 2))
	f.Learn("a", "m", 3, start)
	f.Put(runner("a", 2))
	c, ok := f.Choose(query(), start)
	if !ok || c.Weights != 3 {
		t.Errorf("chose %+v with weights %d, want 3", c.Runner, c.Weights)
	}
	if f.Name("m", 2, start) {
		t.Error("an older version was taken for a new naming")
	}
}
