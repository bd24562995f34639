package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var (
	begin  = time.Unix(1000, 0)
	key    = Key{Customer: "a", Service: "cart", IdempotencyKey: "k"}
	limits = Limits{MaxRecords: 4, MaxAnswerBytes: 100, Retention: time.Minute, TombstoneRetention: time.Minute}
)

// A buyer whose shop client repeats a hold must find one box sold once. The
// order: any number of attempts, some late, some given up, answers lost in
// between. The cause of a second sale would be a second Run for one key after
// a send. Every history of the ledger is checked for that.
func TestOneSendForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(limits)
		now := begin
		sends := 0
		running := false
		told := map[Attempt]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			attempt := Attempt{RequestID: "r", Number: uint32(rapid.IntRange(0, 5).Draw(t, "attempt"))}
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				verdict, record := l.Begin(key, attempt, 1, now)
				if verdict != Run {
					continue
				}
				if told[attempt] {
					t.Fatal("an attempt that was told 'not run' runs")
				}
				record.Claimed = true
				running = true
			case 3:
				if running {
					sends++
					running = false
					l.Finish(key, Answer{Body: []byte("done")}, now)
				}
			case 4:
				if running {
					sends++
					running = false
					l.MarkUnknown(key, now)
				}
			case 5:
				running = false
				l.MarkNotRun(key, now)
			case 6:
				if l.Abandon(key, attempt, now) == NotRun {
					told[attempt] = true
				}
			}
			if sends > 1 {
				t.Fatalf("sent %d times", sends)
			}
		}
	})
}

func TestVerdicts(t *testing.T) {
	l := New(limits)
	first, second := Attempt{"r1", 0}, Attempt{"r2", 0}
	expect := func(want Decision, attempt Attempt, body uint64) {
		t.Helper()
		if got, _ := l.Begin(key, attempt, body, begin); got != want {
			t.Errorf("verdict %s, want %s", got, want)
		}
	}
	expect(Run, first, 1)
	expect(Join, second, 1)
	expect(RefuseKeyReused, second, 2)
	l.Finish(key, Answer{Status: 200}, begin)
	expect(Replay, second, 1)
	if got := l.Abandon(key, first, begin); got != Done {
		t.Errorf("abandoned as %s, want done", got)
	}
	other := Key{IdempotencyKey: "other"}
	if got := l.Abandon(other, first, begin); got != NotRun {
		t.Errorf("abandoned as %s, want not_run", got)
	}
	if got, _ := l.Begin(other, first, 1, begin); got != RefuseAbandoned {
		t.Errorf("verdict %s, want abandoned", got)
	}
}

// At its bound the ledger forgets calls that a claim protects, and refuses,
// truthfully as not run, rather than forget one that nothing else knows of.
func TestBound(t *testing.T) {
	l := New(limits)
	for i := range limits.MaxRecords {
		k := Key{IdempotencyKey: fmt.Sprint(i)}
		_, r := l.Begin(k, Attempt{}, 1, begin)
		r.Claimed = i == 0
		l.Finish(k, Answer{}, begin)
	}
	if got, _ := l.Begin(Key{IdempotencyKey: "next"}, Attempt{}, 1, begin); got != Run {
		t.Fatalf("verdict %s, want run in the place of the claimed call", got)
	}
	if got, _ := l.Begin(Key{IdempotencyKey: "one more"}, Attempt{}, 1, begin); got != RefuseFull {
		t.Fatalf("verdict %s, want full", got)
	}
	l.Expire(begin.Add(time.Hour))
	if got := len(l.Unclaimed()); got != limits.MaxRecords-1 {
		t.Errorf("%d unclaimed calls kept, want %d whatever their age", got, limits.MaxRecords-1)
	}
}

func TestFreshness(t *testing.T) {
	f := Freshness{StartTime: begin, ClockMargin: 2 * time.Second}
	for _, test := range []struct {
		made, now time.Duration
		want      bool
	}{
		{3 * time.Second, 4 * time.Second, true},
		{time.Second, 4 * time.Second, false},
		{-time.Hour, 4 * time.Second, false},
		{time.Minute, 4 * time.Second, false},
	} {
		if got := f.ProvesNew(begin.Add(test.made), begin.Add(test.now)); got != test.want {
			t.Errorf("made %v, now %v: %v", test.made, test.now, got)
		}
	}
	if _, ok := KeyTime(uuid.NewString()); ok {
		t.Error("a random key carries no time")
	}
	made, ok := KeyTime(uuid.Must(uuid.NewV7()).String())
	if !ok || time.Since(made).Abs() > time.Minute {
		t.Errorf("made %v, %v", made, ok)
	}
}
