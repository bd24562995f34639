package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var (
	t0     = time.Unix(1000, 0)
	key    = Key{Customer: "a", Service: "cart", IdempotencyKey: "k"}
	limits = Limits{MaxRecords: 4, MaxAnswerBytes: 100, Retention: time.Minute, TombstoneRetention: time.Minute}
)

// Guards against a call sent twice: a second Run for a key whose call was already sent, in any order of repeated, late
// and abandoned attempts and lost answers.
func TestOneSendForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(limits)
		now := t0
		sends := 0
		running := false
		notRun := map[Attempt]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			attempt := Attempt{RequestID: "r", Number: uint32(rapid.IntRange(0, 5).Draw(t, "attempt"))}
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				decision, record := l.Begin(key, attempt, 1, now)
				if decision != Run {
					continue
				}
				if notRun[attempt] {
					t.Fatal("an attempt that was reported as not run runs")
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
					notRun[attempt] = true
				}
			}
			if sends > 1 {
				t.Fatalf("sent %d times", sends)
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	l := New(limits)
	first, second := Attempt{"r1", 0}, Attempt{"r2", 0}
	expect := func(want Decision, attempt Attempt, body uint64) {
		t.Helper()
		if got, _ := l.Begin(key, attempt, body, t0); got != want {
			t.Errorf("decision %s, want %s", got, want)
		}
	}
	expect(Run, first, 1)
	expect(Join, second, 1)
	expect(RefuseKeyReused, second, 2)
	l.Finish(key, Answer{Status: 200}, t0)
	expect(Replay, second, 1)
	if got := l.Abandon(key, first, t0); got != Done {
		t.Errorf("abandoned as %s, want done", got)
	}
	other := Key{IdempotencyKey: "other"}
	if got := l.Abandon(other, first, t0); got != NotRun {
		t.Errorf("abandoned as %s, want not_run", got)
	}
	if got, _ := l.Begin(other, first, 1, t0); got != RefuseAbandoned {
		t.Errorf("decision %s, want abandoned", got)
	}
}

// Guards against a second send after a full ledger removes an unclaimed record, which only the ledger knows of: it must
// evict a claimed record, and refuse the new call as not run if there is none.
func TestFullLedgerEvictsOnlyClaimedRecords(t *testing.T) {
	l := New(limits)
	for i := range limits.MaxRecords {
		k := Key{IdempotencyKey: fmt.Sprint(i)}
		_, r := l.Begin(k, Attempt{}, 1, t0)
		r.Claimed = i == 0
		l.Finish(k, Answer{}, t0)
	}
	if got, _ := l.Begin(Key{IdempotencyKey: "next"}, Attempt{}, 1, t0); got != Run {
		t.Fatalf("decision %s, want run after evicting the claimed record", got)
	}
	if got, _ := l.Begin(Key{IdempotencyKey: "one more"}, Attempt{}, 1, t0); got != RefuseFull {
		t.Fatalf("decision %s, want full", got)
	}
	l.Expire(t0.Add(time.Hour))
	if got := len(l.Unclaimed()); got != limits.MaxRecords-1 {
		t.Errorf("%d unclaimed calls kept, want %d whatever their age", got, limits.MaxRecords-1)
	}
}

func TestFreshness(t *testing.T) {
	f := Freshness{StartTime: t0, ClockMargin: 2 * time.Second}
	for _, test := range []struct {
		created, now time.Duration
		want         bool
	}{
		{3 * time.Second, 4 * time.Second, true},
		{time.Second, 4 * time.Second, false},
		{-time.Hour, 4 * time.Second, false},
		{time.Minute, 4 * time.Second, false},
	} {
		if got := f.ProvesNew(t0.Add(test.created), t0.Add(test.now)); got != test.want {
			t.Errorf("created %v, now %v: proved new %v", test.created, test.now, got)
		}
	}
	if _, ok := KeyTime(uuid.NewString()); ok {
		t.Error("a random UUID was read as carrying a creation time")
	}
	created, ok := KeyTime(uuid.Must(uuid.NewV7()).String())
	if !ok || time.Since(created).Abs() > time.Minute {
		t.Errorf("creation time %v, %v, want about now", created, ok)
	}
}

// Guards against a call that runs twice: its answer was lost on the way to the entry, and when the entry
// asks what became of the attempt, the full ledger has forgotten it.
func TestAttemptIsSettledAfterAFullLedger(t *testing.T) {
	for name, limits := range map[string]Limits{
		"records": {MaxRecords: 8, MaxAnswerBytes: 1 << 20, Retention: time.Hour, TombstoneRetention: time.Minute},
		"answers": {MaxRecords: 1 << 20, MaxAnswerBytes: 64, Retention: time.Hour, TombstoneRetention: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := New(limits), time.Now()
			run := func(i int) {
				key := Key{IdempotencyKey: fmt.Sprint(i)}
				decision, record := l.Begin(key, Attempt{RequestID: fmt.Sprint(i)}, 0, now)
				if decision != Run {
					return
				}
				record.GeneratedKey, record.MinRetention = true, 20*time.Second
				l.Finish(key, Answer{Body: make([]byte, 16)}, now)
			}
			for i := range 20 {
				run(i)
				now = now.Add(time.Millisecond)
			}
			if state := l.Abandon(Key{IdempotencyKey: "0"}, Attempt{RequestID: "0"}, now); state == NotRun {
				t.Errorf("the first call, which ran, is settled as %s", state)
			}
			if l.AnswerBytes() > limits.MaxAnswerBytes || l.Len() > limits.MaxRecords {
				t.Errorf("%d calls, %d bytes of answers", l.Len(), l.AnswerBytes())
			}
			// Later the calls make room.
			now = now.Add(2 * time.Minute)
			if decision, _ := l.Begin(Key{IdempotencyKey: "later"}, Attempt{RequestID: "later"}, 0, now); decision != Run {
				t.Errorf("a later call: %s", decision)
			}
		})
	}
}
