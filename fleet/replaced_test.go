package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Names of the property tests: meantID is the target whose call was refused, otherID another one.
const (
	meantID = "a"
	otherID = "x"
)

// genuineAnswer is the answer of the target that has an address.
func genuineAnswer(holder, asked string) HolderAnswer {
	if holder == asked {
		return HolderAnswer{Accepted: true}
	}
	return HolderAnswer{Named: holder}
}

// drawForeign draws the answer of a late or foreign response; the zero value stands for no answer.
func drawForeign(t *rapid.T, label string) HolderAnswer {
	return rapid.SampledFrom([]HolderAnswer{{}, {Accepted: true}, {Named: meantID}, {Named: otherID}, {Named: "y"}}).Draw(t, label)
}

// drawRound draws a round of questions at the address of a target, with at most one foreign
// response, which answers any number of them: none, one, or both alike.
func drawRound(t *rapid.T, holder string) string {
	foreign := drawForeign(t, "foreign")
	answer := func(asked string) HolderAnswer {
		if rapid.Bool().Draw(t, "genuine") {
			return genuineAnswer(holder, asked)
		}
		return foreign
	}
	first := answer(meantID)
	var second HolderAnswer
	if !first.Accepted && first.Named != "" && first.Named != meantID {
		second = answer(first.Named)
	}
	return holderOf(meantID, first, second)
}

// suspected returns a view of target a, which is suspected, and the instances that have ended.
func suspected() (f *Fleet, ended *[]Instance) {
	ended = &[]Instance{}
	f = withTargets(New("z"), startedAt(target(meantID, 1), 10))
	f.OnEnd(func(l Instance) { *ended = append(*ended, l) })
	f.SuspectReplaced(Instance{ID: meantID, Born: 10}, start)
	return f, ended
}

// nextRound starts the next round and returns when that was.
func nextRound(t interface{ Fatalf(string, ...any) }, f *Fleet, from time.Time) (*replacementCheck, time.Time) {
	for now := from; ; now = now.Add(10 * time.Millisecond) {
		if due := f.dueReplacementChecks(now); len(due) > 0 {
			return due[0], now
		}
		if now.Sub(from) > maxHolderInterval {
			t.Fatalf("no round within %v", maxHolderInterval)
		}
	}
}

// Guards against a target that ends by a late or foreign response, which may answer any number of
// the questions.
func TestForeignResponseEndsNoTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ended := suspected()
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			var c *replacementCheck
			c, now = nextRound(t, f, now)
			if r, settled := f.recordHolder(c, drawRound(t, meantID), now); settled {
				if r.Replaced() {
					t.Fatalf("settled as %+v", r)
				}
				// Calls go on being refused.
				f.SuspectReplaced(r.Target, now)
			}
		}
		if !f.IsCurrent(Instance{ID: meantID, Born: 10}) || len(*ended) > 0 {
			t.Fatalf("the target has ended: %v", *ended)
		}
	})
}

// Guards against a target that is kept although another one has its address: a crash is found by
// that. Responses may be lost or foreign before.
func TestReplacedTargetEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ended := suspected()
		now, lost := start, rapid.IntRange(0, 10).Draw(t, "lost")
		for range lost {
			var c *replacementCheck
			c, now = nextRound(t, f, now)
			f.recordHolder(c, "", now)
		}
		quietAt := now
		for range 2 {
			var c *replacementCheck
			c, now = nextRound(t, f, now)
			f.recordHolder(c, holderOf(meantID, genuineAnswer(otherID, meantID), genuineAnswer(otherID, otherID)), now)
		}
		if f.IsCurrent(Instance{ID: meantID}) || len(*ended) != 1 || (*ended)[0] != (Instance{ID: meantID, Born: 10}) {
			t.Fatalf("the target is still listed, ended are %v", *ended)
		}
		if took := now.Sub(quietAt); took > maxHolderInterval+holderInterval+20*time.Millisecond {
			t.Fatalf("it took %v after the lost rounds", took)
		}
		if due := f.dueReplacementChecks(now.Add(time.Minute)); len(due) > 0 || f.holderRounds != 0 {
			t.Fatalf("%d rounds are due, %d in progress", len(due), f.holderRounds)
		}
	})
}

// Guards against a round that counts with one before another: both must show the same holder.
func TestHolderMustBeShownTwiceInARow(t *testing.T) {
	for _, shown := range [][]string{{otherID}, {otherID, "", otherID}, {otherID, "y", otherID}, {"y", otherID}} {
		f, ended := suspected()
		now := start
		for _, holder := range shown {
			var c *replacementCheck
			c, now = nextRound(t, f, now)
			f.recordHolder(c, holder, now)
		}
		if len(*ended) > 0 {
			t.Errorf("ended by rounds that showed %q", shown)
		}
	}
}

// Guards against a round that ends a later instance, or a target that has another address by now.
func TestRoundConcernsOneInstanceAndAddress(t *testing.T) {
	moved := startedAt(target(meantID, 1), 10)
	moved.Address = "elsewhere:1"
	for name, change := range map[string]func(*Fleet){
		"restarted": func(f *Fleet) { f.Put(startedAt(target(meantID, 1), 20)) },
		"moved":     func(f *Fleet) { f.Put(moved) },
		"relisted": func(f *Fleet) {
			f.Remove(meantID)
			f.Put(startedAt(target(meantID, 1), 20))
		},
		"unlisted": func(f *Fleet) { f.Remove(meantID) },
	} {
		f, ended := suspected()
		c, now := nextRound(t, f, start)
		f.recordHolder(c, otherID, now)
		c, now = nextRound(t, f, now)
		change(f)
		if _, settled := f.recordHolder(c, otherID, now); settled || len(*ended) > 0 {
			t.Errorf("%s: settled %v, ended are %v", name, settled, *ended)
		}
		if due := f.dueReplacementChecks(now.Add(time.Minute)); len(due) > 0 {
			t.Errorf("%s: a further round is due", name)
		}
	}
}

// Guards against rounds without bound where many targets are suspected, or one for long.
func TestHolderRoundsAreBounded(t *testing.T) {
	f := New("z")
	for i := range 3 * maxHolderRounds {
		r := target(fmt.Sprint(i), 1)
		f.Put(r)
		f.SuspectReplaced(r.Instance(), start)
		f.SuspectReplaced(r.Instance(), start)
	}
	due := f.dueReplacementChecks(start)
	if len(due) != maxHolderRounds || len(f.dueReplacementChecks(start)) != 0 {
		t.Fatalf("%d rounds, want %d", len(due), maxHolderRounds)
	}
	for _, c := range due {
		f.recordHolder(c, "", start)
	}
	if n := len(f.dueReplacementChecks(start)); n != maxHolderRounds {
		t.Errorf("%d rounds after the first ones, want %d", n, maxHolderRounds)
	}
	f, _ = suspected()
	rounds := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(holderTick) {
		for _, c := range f.dueReplacementChecks(now) {
			rounds++
			f.recordHolder(c, "", now)
		}
	}
	if rounds < 25 || rounds > 40 {
		t.Errorf("%d rounds in a minute, want one in %v", rounds, maxHolderInterval)
	}
}

// holderFunc is a HolderAsker.
type holderFunc func(address, id string) (HolderAnswer, error)

func (h holderFunc) AskHolder(_ context.Context, address, id string) (HolderAnswer, error) {
	return h(address, id)
}

// Guards against a target that ends by reads or reports alone, and against one that is not asked.
func TestSuspectedTargetIsAsked(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(asked string) (HolderAnswer, error)
		ended  bool
	}{
		"it answers":           {func(asked string) (HolderAnswer, error) { return genuineAnswer(meantID, asked), nil }, false},
		"another one answers":  {func(asked string) (HolderAnswer, error) { return genuineAnswer(otherID, asked), nil }, true},
		"all is refused alike": {func(string) (HolderAnswer, error) { return HolderAnswer{Named: otherID}, nil }, false},
		"nobody answers":       {func(string) (HolderAnswer, error) { return HolderAnswer{}, errors.New("no answer") }, false},
		"one refuses, nobody answers": {func(asked string) (HolderAnswer, error) {
			if asked == meantID {
				return HolderAnswer{Named: otherID}, nil
			}
			return HolderAnswer{}, errors.New("no answer")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, ended := suspected()
				var results []ReplacementResult
				asked := 0
				asker := holderFunc(func(address, id string) (HolderAnswer, error) {
					asked++
					if address != f.Targets("lm")[0].Address {
						t.Errorf("asked at %s", address)
					}
					return test.answer(id)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				NewReplacementChecker(f, asker, func(r ReplacementResult) { results = append(results, r) }).Run(ctx)
				if len(*ended) > 0 != test.ended || len(f.Targets("lm")) > 0 == test.ended || asked == 0 {
					t.Errorf("ended are %v after %d questions, results %+v", *ended, asked, results)
				}
			})
		})
	}
}

// misdirectedReader refuses each read in another target's name.
type misdirectedReader struct{}

func (misdirectedReader) CacheEvents(context.Context, CacheEventRequest) (CacheEvents, error) {
	return CacheEvents{}, fmt.Errorf("read: %w", ErrTargetReplaced)
}

// Guards against a target that reads of its cache end, however many are refused in another's name.
func TestMisdirectedReadsStartACheck(t *testing.T) {
	f := withTargets(New("z"), target(meantID, 1))
	w := NewCacheWatcher(f, misdirectedReader{})
	for range 5 {
		w.read(t.Context(), f.dueReads()[0])
	}
	if len(f.Targets("lm")) != 1 || !f.Unresponsive(meantID) {
		t.Errorf("targets are %+v", f.Targets("lm"))
	}
	if due := f.dueReplacementChecks(time.Now()); len(due) != 1 || due[0].instance.ID != meantID {
		t.Errorf("due checks are %+v, want one", due)
	}
}
