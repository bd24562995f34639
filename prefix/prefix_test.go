package prefix

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Requests of different customers, weights or adapters must never share cache entries,
// so chains under different salts must have no hash in common.
func TestSaltsNeverShareHashes(t *testing.T) {
	text := bytes.Repeat([]byte("the same long text "), 200)
	p := Prompt{Text: text, Ends: []int{len(text)}}
	salts := []Salt{
		{Customer: "a", Model: "m", WeightsVersion: "v1"},
		{Customer: "b", Model: "m", WeightsVersion: "v1"},
		{Customer: "a", Model: "m", WeightsVersion: "v2"},
		{Customer: "a", Model: "m", WeightsVersion: "v1", Adapter: "x"},
		{Customer: "a", Model: `m" "v1`, WeightsVersion: ""},
		{Model: "m", WeightsVersion: "v1"},
		{Model: "m", WeightsVersion: "v1", Excluded: "a"},
		{Model: "m", WeightsVersion: "v1", Excluded: "b"},
		{Model: "m", WeightsVersion: "v1", Adapter: ` without "a"`},
	}
	seen := map[uint64]bool{}
	for _, salt := range salts {
		for _, b := range NewChain(salt.String(), p, 16, 64).Boundaries {
			if seen[b.Hash] {
				t.Fatalf("salt %+v shares a hash with another", salt)
			}
			seen[b.Hash] = true
		}
	}
}

// Prompts with a common prefix must have the same boundaries up to its end.
func TestChainsShareCommonPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "common")
		a := append(bytes.Clone(common), rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "a")...)
		b := append(bytes.Clone(common), rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "b")...)
		one := NewChain("s", Prompt{Text: a, Ends: []int{len(common), len(a)}}, 16, 64)
		other := NewChain("s", Prompt{Text: b, Ends: []int{len(common), len(b)}}, 16, 64)
		whole := len(common) / (16 * BytesPerToken) * 16
		for _, x := range one.Boundaries {
			for _, y := range other.Boundaries {
				if x.Tokens == y.Tokens && x.Tokens <= whole && x.Hash != y.Hash {
					t.Fatalf("hashes differ at %d tokens with a common prefix of %d", x.Tokens, whole)
				}
			}
		}
		if len(one.Boundaries) > MaxBoundaries || len(one.Levels) > MaxLevels {
			t.Fatal("too many boundaries")
		}
	})
}

func TestLevels(t *testing.T) {
	text := bytes.Repeat([]byte("x"), 10000*BytesPerToken)
	p := Prompt{Text: text, Ends: []int{500 * BytesPerToken, 4000 * BytesPerToken, 9000 * BytesPerToken}}
	c := NewChain("s", p, 16, 4000)
	if len(c.Levels) != 3 || c.Levels[0].Tokens != 4000 || c.Levels[1].Tokens != 8992 {
		t.Errorf("levels: %+v", c.Levels)
	}
	short := NewChain("s", Prompt{Text: text[:800], Ends: []int{400, 800}}, 16, 4000)
	if len(short.Levels) != 1 {
		t.Errorf("levels of a short prompt: %+v", short.Levels)
	}
	if empty := NewChain("s", Prompt{Text: []byte("hi")}, 16, 4000); len(empty.Boundaries) != 0 || empty.Tokens != 1 {
		t.Errorf("chain of a tiny prompt: %+v", empty)
	}
}

func BenchmarkNewChain(b *testing.B) {
	text := bytes.Repeat([]byte("abcd"), 15000)
	p := Prompt{Text: text, Ends: []int{4000, 20000, 59000}}
	b.ReportAllocs()
	for b.Loop() {
		NewChain("salt", p, 16, 4000)
	}
}
