package cache

import (
	"testing"

	"pgregory.net/rapid"
)

const root = uint64(7)

// model is an engine's actual cache: chains of blocks that grow and lose their ends.
type model struct {
	boot   string
	seq    uint64
	blocks map[uint64]uint64
}

func (m *model) event(t *rapid.T) Event {
	m.seq++
	e := Event{BootID: m.boot, Seq: m.seq}
	if rapid.Bool().Draw(t, "evict") {
		for hash := range m.blocks {
			if !m.hasChild(hash) {
				e.Removed = append(e.Removed, hash)
				break
			}
		}
		for _, h := range e.Removed {
			delete(m.blocks, h)
		}
	}
	parent := root
	if n := rapid.IntRange(0, 20).Draw(t, "parent"); m.blocks[uint64(100+n)] != 0 {
		parent = uint64(100 + n)
	}
	e.Parent = parent
	for range rapid.IntRange(0, 3).Draw(t, "stored") {
		hash := uint64(100 + rapid.IntRange(0, 20).Draw(t, "hash"))
		if m.blocks[hash] != 0 {
			break
		}
		m.blocks[hash] = parent
		e.Stored = append(e.Stored, hash)
		parent = hash
	}
	return e
}

func (m *model) hasChild(hash uint64) bool {
	for _, parent := range m.blocks {
		if parent == hash {
			return true
		}
	}
	return false
}

func (m *model) dump() Dump {
	d := Dump{BootID: m.boot, Seq: m.seq}
	for h, p := range m.blocks {
		d.Blocks = append(d.Blocks, Block{Hash: h, Parent: p})
	}
	return d
}

// A prompt routed to an evicted prefix is computed again. It happens if the view
// reports blocks whose eviction event was lost, late or overtaken by a dump or reboot.
func TestViewReportsOnlyCachedBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{boot: "a", blocks: map[uint64]uint64{}}
		v := NewView()
		v.Resync(m.dump())
		last := Event{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.event(t)
				continue
			case 1:
				v.Apply(last)
			case 2:
				v.Resync(m.dump())
			case 3:
				m.boot, m.seq, m.blocks = m.boot+"a", 0, map[uint64]uint64{}
				v.ResetOnBoot(m.boot)
			default:
				last = m.event(t)
				v.Apply(last)
			}
			checkReported(t, v, m)
		}
	})
}

func checkReported(t *rapid.T, v *View, m *model) {
	if v.BootID() != m.boot || v.Seq() != m.seq {
		// Events are still in transit; the view may be late but not wrong.
		return
	}
	for h := uint64(100); h <= 120; h++ {
		if v.HasChain(root, h) && m.blocks[h] == 0 {
			t.Fatalf("block %d is reported as cached, but the engine does not have it", h)
		}
		if !v.HasGaps() && !v.HasChain(root, h) && m.blocks[h] != 0 {
			t.Fatalf("block %d is not reported as cached, though no event was lost", h)
		}
	}
}

func TestApplyResults(t *testing.T) {
	v := NewView()
	steps := []struct {
		event Event
		want  ApplyResult
	}{
		{Event{BootID: "a", Seq: 1, Parent: root, Stored: []uint64{1, 2}}, Rebooted},
		{Event{BootID: "a", Seq: 2, Parent: 2, Stored: []uint64{3}}, Applied},
		{Event{BootID: "a", Seq: 2, Parent: 2, Stored: []uint64{3}}, Duplicate},
		{Event{BootID: "a", Seq: 5, Parent: root, Stored: []uint64{9}}, Gap},
		{Event{BootID: "b", Seq: 1, Parent: root, Stored: []uint64{4}}, Rebooted},
	}
	for i, step := range steps {
		if got := v.Apply(step.event); got != step.want {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
	if v.HasChain(root, 1) || !v.HasChain(root, 4) {
		t.Error("a new boot must empty the view at once")
	}
}

// After a gap, only blocks confirmed since then are reported as cached.
func TestViewConfirm(t *testing.T) {
	v := NewView()
	v.Resync(Dump{BootID: "a", Seq: 1, Blocks: []Block{{1, root}, {2, 1}, {3, 2}}})
	v.Apply(Event{BootID: "a", Seq: 9})
	if v.LongestPrefix(root, []uint64{1, 2, 3}) != -1 {
		t.Fatal("blocks that a lost event may have evicted are reported as cached")
	}
	v.Confirm(root, 2)
	if got := v.LongestPrefix(root, []uint64{1, 2, 3}); got != 1 {
		t.Errorf("deepest cached boundary %d, want 1", got)
	}
}

func TestViewLifetime(t *testing.T) {
	v := NewView()
	v.SetNow(1000)
	v.Apply(Event{BootID: "a", Seq: 1, Parent: root, Stored: []uint64{1}})
	v.SetNow(5000)
	v.Apply(Event{BootID: "a", Seq: 2, Removed: []uint64{1}})
	if got := v.Lifetime(); got != 4000 {
		t.Errorf("lifetime %v ms, want 4000", got)
	}
}

// BenchmarkApply measures one cache event. An agent receives 370 a second at the size
// expected in two years.
func BenchmarkApply(b *testing.B) {
	v := NewView()
	const capacity = 40000
	for i := 0; b.Loop(); i++ {
		n := uint64(i) + 1
		e := Event{BootID: "a", Seq: n, Parent: n - 1, Stored: []uint64{n}}
		if i >= capacity {
			e.Removed = []uint64{n - capacity}
		}
		v.Apply(e)
	}
}

// BenchmarkLongest measures the look-up for one query with a prompt of 12,800 tokens.
func BenchmarkLongest(b *testing.B) {
	v := NewView()
	for n := uint64(1); n <= 40000; n++ {
		parent := n - 1
		if n%800 == 1 {
			parent = root
		}
		v.Apply(Event{BootID: "a", Seq: n, Parent: parent, Stored: []uint64{n}})
	}
	for b.Loop() {
		v.LongestPrefix(root, []uint64{200, 400, 600, 800})
	}
}
