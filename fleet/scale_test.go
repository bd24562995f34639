package fleet

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"acaciakeel/peering"
	"acaciakeel/prefix"
)

// entries is a fleet of processes before the same runners, in virtual time: each
// decides by its own view, and what it tells reaches the others of its group with
// its next pulse and the other groups with the next digest.
type entries struct {
	views []*Fleet
	// peers are the others of each one's group, groups the group of each.
	peers  [][]int
	groups []int
	// at is how many runs each runner has, ends when they end.
	at       map[string]int
	most     int
	rejected int
	ends     map[time.Time][]func()
}

const (
	scaleSlots = 16
	scaleQueue = 48
	scaleStep  = 10 * time.Millisecond
)

func newEntries(n, runners int) *entries {
	e := &entries{at: map[string]int{}, ends: map[time.Time][]func(){}}
	var members []peering.Member
	at := map[string]int{}
	for i := range n {
		key := "m/" + strconv.Itoa(i)
		members = append(members, peering.Member{Key: key, Zone: "z" + strconv.Itoa(i%5)})
		at[key] = i
	}
	for i := range n {
		f := New("z" + strconv.Itoa(i%5))
		f.RecordDesired("m", 1, start.Add(-time.Hour), false)
		for r := range runners {
			id := fmt.Sprintf("r%d", r)
			f.Put(Target{ID: id, Service: "lm", Address: id + ":1", Zone: "z" + strconv.Itoa(r%5), Slots: scaleSlots, Weights: map[string]int64{"m": 1}})
		}
		var keys []string
		for _, m := range members {
			keys = append(keys, m.Key)
		}
		f.SetMembers(members[i].Key, keys)
		f.RecordWeightLoad("lm", 450*time.Millisecond)
		e.views = append(e.views, f)
		plan := peering.New(members[i].Key, members)
		e.groups = append(e.groups, plan.Group)
		var peers []int
		for _, p := range plan.Peers {
			peers = append(peers, at[p.Key])
		}
		e.peers = append(e.peers, peers)
	}
	return e
}

// draft is a short prompt for a run that outlasts a load of weights.
func draft() Query {
	part := prefix.Boundary{Hash: rand.Uint64(), Tokens: 200}
	return Query{
		Service: "lm", Model: "m", InputTokens: 800, MaxOutputTokens: 400, Objective: 400 * time.Millisecond, MaxStaleness: time.Hour, CostWeights: query().CostWeights,
		Chain: func(int64) prefix.Chain {
			return prefix.Chain{Tokens: 800, Levels: []prefix.Boundary{part}, Boundaries: []prefix.Boundary{part, {Hash: rand.Uint64(), Tokens: 800}}}
		},
	}
}

// send has one process decide on a draft, and the runner take it or turn it away.
func (e *entries) send(by int, now time.Time, held time.Duration) {
	f := e.views[by]
	c, ok := f.Choose(draft(), now)
	if !ok {
		return
	}
	life := c.Target.Instance()
	if e.at[life.ID] >= scaleSlots+scaleQueue {
		e.rejected++
		f.RecordLoad(life, Load{Running: scaleSlots, Waiting: scaleQueue, Slots: scaleSlots}, now)
		return
	}
	e.at[life.ID]++
	e.most = max(e.most, e.at[life.ID])
	t := f.Begin(life, RequestLoad{UncachedTokens: 800, PromptTokens: 800, MaxOutputTokens: 400, Chain: c.Chain, Long: c.Long}, now)
	end := now.Add(held).Truncate(scaleStep)
	e.ends[end] = append(e.ends[end], func() {
		t.FirstEvent(now.Add(held / 4))
		t.Complete(now.Add(held))
		t.End()
		e.at[life.ID]--
	})
}

// tell passes the news on, of all processes that tell at this step.
func (e *entries) tell(step int, now time.Time) {
	digest := map[int]int{}
	for i, f := range e.views {
		pulse := max(5, len(e.peers[i])/2)
		if (step+i)%pulse == 0 {
			load, words := f.LocalOccupancy(44), f.EngineReports(now)
			for _, p := range e.peers[i] {
				e.views[p].MergeOccupancy(strconv.Itoa(i), load, now)
				e.views[p].MergeEngineReports(strconv.Itoa(i), words, now)
			}
		}
		digest[e.groups[i]] = i
	}
	if step%20 != 0 || len(digest) < 2 {
		return
	}
	for group, by := range digest {
		load, words := e.views[by].GroupOccupancy(now), e.views[by].GroupEngineReports(now)
		for i, f := range e.views {
			if e.groups[i] != group {
				f.MergeGroupOccupancy(group, load, now)
				f.MergeGroupEngineReports(group, words, now)
			}
		}
	}
}

// play sends so many drafts a second for a while, each held for 0.9 s.
func (e *entries) play(rate float64, lasts time.Duration) (sent int) {
	now, due := start, 0.0
	for step := 0; now.Before(start.Add(lasts)); step++ {
		for _, end := range e.ends[now.Truncate(scaleStep)] {
			end()
		}
		delete(e.ends, now.Truncate(scaleStep))
		for due += rate * scaleStep.Seconds(); due >= 1; due-- {
			e.send(rand.IntN(len(e.views)), now, 900*time.Millisecond)
			sent++
		}
		e.tell(step, now)
		now = now.Add(scaleStep)
	}
	return sent
}

// Shop texts are long runs, packed onto few runners so that the rest load new
// weights at once. From a hundred entries each sent its first to the first runner of
// the order: its queue overflowed while the next stood empty, and three texts in four
// were refused, at a wait believed to be none. The load per runner is the same at
// every size here, some 2.2 texts a second as on the fleets served, so none may be
// turned away at any size, and no runner may queue for more than a text.
func TestPackedRunsDoNotOverflowAtAnySize(t *testing.T) {
	for _, size := range []struct{ entries, runners int }{{3, 18}, {20, 38}, {26, 40}, {41, 64}, {103, 160}, {300, 160}} {
		e := newEntries(size.entries, size.runners)
		sent := e.play(2.2*float64(size.runners), 3*time.Second)
		t.Logf("%d entries: %d sent, %d rejected, most %d", size.entries, sent, e.rejected, e.most)
		if e.rejected > 0 || e.most > 2*scaleSlots {
			t.Errorf("%d entries before %d runners: of %d texts %d were turned away, the fullest runner had %d", size.entries, size.runners, sent, e.rejected, e.most)
		}
	}
}
