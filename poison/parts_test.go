package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func part(id string) Part { return NewPart("m", id) }

func partsOf(ids ...string) []Part {
	var out []Part
	for _, id := range ids {
		out = append(out, part(id))
	}
	return out
}

// crashParts crashes a target while it runs a request, alike to no other, with the given parts.
func crashParts(t *Table, target int, now time.Time, parts []Part) {
	c := caseOf(fmt.Sprint("request at ", target))
	var accused []Case
	for _, p := range parts {
		a := c
		a.Content, a.Part = p.Fingerprint, p.ID
		accused = append(accused, a)
	}
	t.RecordBrokenResponse(c, inst(target), now, now, accused...)
	t.RecordCrash(inst(target), now)
}

func wantParts(t *testing.T, table *Table, now time.Time, want Status, ids ...string) {
	t.Helper()
	if got := table.EvaluateParts(partsOf(ids...), now); got.Status != want {
		t.Errorf("parts %v are %+v, want %s", ids, got, want)
	}
}

// Guards against IDs of kilobytes in each report, and against parts that differ only at their end
// and count as one.
func TestIDsOfPartsAreBounded(t *testing.T) {
	long := strings.Repeat("a", 5000)
	a, b := part(long+"1"), part(long+"2")
	if len(a.ID) > maxIDBytes || a.Fingerprint == b.Fingerprint {
		t.Errorf("an ID of %d bytes, fingerprints %s and %s", len(a.ID), a.Fingerprint, b.Fingerprint)
	}
}

func seconds(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }

// Guards against a part that crashes target after target because each request is new, and
// against refusing the parts that stood beside it.
func TestPartInAllCrashedPromptsIsRefused(t *testing.T) {
	table := New(nil)
	for i := range CrashThreshold {
		wantParts(t, table, seconds(float64(i)), Free, "bad")
		crashParts(table, i, seconds(float64(i)), partsOf("head", "bad", fmt.Sprint("group", i)))
	}
	now := seconds(2.1)
	wantParts(t, table, now, Refused, "head", "bad", "group7")
	wantParts(t, table, now, Refused, "BAD", "HEAD")
	wantParts(t, table, now, Free, "head", "group1")
	if d := table.EvaluateParts(partsOf("bad", "head"), now); d.Crashes != CrashThreshold || d.Part == "" || d.Remaining <= 0 {
		t.Errorf("decision %+v", d)
	}
}

// Guards against refusing a sound part for as long as a bad one that always stands beside it,
// and against sending prompts with the bad one alone without end.
func TestPartBesideABadOneIsToldFromIt(t *testing.T) {
	table := New(nil)
	for i := range CrashThreshold {
		crashParts(table, i, start, partsOf("group", "bad"))
	}
	wantParts(t, table, start, Refused, "group", "bad")
	wantParts(t, table, start, Free, "group")
	wantParts(t, table, start, Free, "bad", "other")
	crashParts(table, 7, seconds(1), partsOf("bad", "other"))
	wantParts(t, table, seconds(1), Refused, "bad", "third")
	wantParts(t, table, seconds(1), Free, "group")
	table.RecordPartsSurvived(partsOf("group"), seconds(2))
	wantParts(t, table, seconds(2), Refused, "bad")
}

// Guards against refusing a part that many prompts share because a rack fails with all of its
// targets: it was served a moment before.
func TestPartServedLatelyIsNotBlamed(t *testing.T) {
	table, peer := New(nil), New(nil)
	table.RecordPartsSurvived(partsOf("head"), start)
	for i := range 9 {
		crashParts(table, i, seconds(1), partsOf("head"))
		crashParts(peer, i, seconds(1), partsOf("head"))
	}
	wantParts(t, table, seconds(1), Free, "head")
	table.ApplyReports(peer.NextReports(seconds(1)), seconds(1))
	wantParts(t, table, seconds(1), Free, "head")
	// A part that begins to crash targets is blamed once it was not served for a while.
	for i := range CrashThreshold {
		crashParts(table, 20+i, seconds(5), partsOf("head"))
	}
	wantParts(t, table, seconds(5), Refused, "head")
}

// Guards against a bad part that counts as served because its answer was complete before its
// target crashed.
func TestCompleteAnswerBeforeACrashProvesNothing(t *testing.T) {
	table := New(nil)
	for i := range CrashThreshold {
		now := seconds(float64(i))
		table.RecordPartsServed(partsOf("bad"), inst(i), now)
		crashParts(table, i, now.Add(50*time.Millisecond), partsOf("bad"))
		table.Sweep(now.Add(900 * time.Millisecond))
	}
	wantParts(t, table, seconds(3), Refused, "bad")
	table.RecordPartsServed(partsOf("bad"), inst(30), seconds(3))
	table.Sweep(seconds(3).Add(SurvivalTime))
	wantParts(t, table, seconds(3.5), Free, "bad")
}

// Guards against verdicts on parts that are tried too often: later than 3 s after the fifth
// crash no more than three requests may reach targets in an hour.
func TestTrialsOfABadPartAreFew(t *testing.T) {
	table := New(nil)
	const maxLate = 3
	var fifth time.Time
	crashes, late := 0, 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(250 * time.Millisecond) {
		table.Sweep(now)
		d := table.EvaluateParts(partsOf("bad", "x"), now)
		if d.Status != Free && d.Status != Suspect {
			continue
		}
		crashes++
		if !fifth.IsZero() && now.Sub(fifth) > 3*time.Second {
			late++
		}
		crashParts(table, crashes, now, partsOf("bad", fmt.Sprint("other", crashes)))
		if crashes == 5 {
			fifth = now
		}
	}
	if late > maxLate || crashes < 5 {
		t.Errorf("%d crashes, %d later than 3 s after the fifth, want at most %d", crashes, late, maxLate)
	}
}

// Guards against several trials of a part at a time, at one process or at several.
func TestPartIsTriedByOneRequestAtATime(t *testing.T) {
	table, other := New(nil), New(nil)
	for i := range CrashThreshold {
		crashParts(table, i, start, partsOf("bad", fmt.Sprint("other", i)))
	}
	other.ApplyReports(table.NextReports(start), start)
	now := start.Add(firstPartVerdict + time.Second)
	table.Sweep(now)
	other.Sweep(now)
	wantParts(t, table, now, Suspect, "bad")
	trial := table.Track(caseOf("trial").Content, partsOf("bad")...)
	trial.SentTo(inst(9))
	wantParts(t, table, now, Waiting, "bad")
	other.ApplyReports(table.NextReports(now), now)
	wantParts(t, other, now, Waiting, "bad")
	trial.Finish()
	table.RecordPartsSurvived(partsOf("bad"), now)
	wantParts(t, table, now, Free, "bad")
	other.ApplyReports(table.NextReports(now), now)
	wantParts(t, other, now, Free, "bad")
	if len(table.running) != 0 || len(table.localSuspects) != 0 {
		t.Errorf("%d contents count as running, %d as suspects that run", len(table.running), len(table.localSuspects))
	}
}

// Guards against a verdict on a part that a starting process does not get from the store.
func TestVerdictOnAPartIsStored(t *testing.T) {
	table := New(nil)
	for i := range trialCrashes {
		crashParts(table, i, start, partsOf("bad", fmt.Sprint("other", i)))
	}
	fresh := New(nil)
	for _, v := range table.PendingWrites(false, seconds(1)) {
		value, err := v.Encode()
		if err != nil {
			t.Fatal(err)
		}
		stored, err := DecodeVerdict(v.Content, value, 3, seconds(1))
		if err != nil {
			t.Fatal(err)
		}
		fresh.ApplyStored(stored, seconds(1))
	}
	wantParts(t, fresh, seconds(1), Refused, "bad")
	if d := fresh.EvaluateParts(partsOf("bad"), seconds(1)); d.Part != "bad" || d.Remaining < 9*time.Minute {
		t.Errorf("decision %+v", d)
	}
}

// repeatContent crashes targets, one after the other, while they run the same content with the
// given parts.
func repeatContent(t *Table, c Case, first, crashes int, now time.Time, parts []Part) {
	var accused []Case
	for _, p := range parts {
		a := c
		a.Content, a.Part = p.Fingerprint, p.ID
		accused = append(accused, a)
	}
	for i := range crashes {
		t.RecordBrokenResponse(c, inst(first+i), now, now, accused...)
		t.RecordCrash(inst(first+i), now)
	}
}

// Guards against refusing a sound part for ten minutes because a refused content that has it
// crashed targets, and one more crashed for another reason while it ran a prompt with the part.
func TestPartOfARefusedContentIsTried(t *testing.T) {
	table, crasher := New(nil), caseOf("crasher")
	repeatContent(table, crasher, 0, trialCrashes, start, partsOf("head", "group"))
	wantStatus(t, table, crasher, start, Refused)
	wantParts(t, table, start, Free, "head", "group")
	crashParts(table, 20, seconds(1), partsOf("head", "group"))
	wantParts(t, table, seconds(1), Suspect, "head", "group")
	trial := table.Track(caseOf("trial").Content, partsOf("head", "group")...)
	trial.SentTo(inst(30))
	wantParts(t, table, seconds(1), Waiting, "head", "group")
	table.RecordPartsSurvived(partsOf("head", "group"), seconds(2))
	wantParts(t, table, seconds(2), Free, "head", "group")
	wantStatus(t, table, crasher, seconds(2), Refused)
}

// Guards against a bad part that is sent on and on because one of the contents that have it is
// refused.
func TestBadPartOfARefusedContentIsRefused(t *testing.T) {
	table, crasher := New(nil), caseOf("crasher")
	repeatContent(table, crasher, 0, CrashThreshold, start, partsOf("bad"))
	crashParts(table, 20, start, partsOf("bad", "first"))
	for i := range CrashThreshold - 1 {
		wantParts(t, table, start, Suspect, "bad", "other")
		crashParts(table, 21+i, start, partsOf("bad", fmt.Sprint("other", i)))
	}
	wantParts(t, table, start, Refused, "bad", "other")
}

// Guards against a bad part whose crashes are explained by one refused content after the other.
func TestBadPartOfSeveralRefusedContentsIsRefused(t *testing.T) {
	table := New(nil)
	repeatContent(table, caseOf("one"), 0, CrashThreshold, start, partsOf("bad"))
	wantParts(t, table, start, Free, "bad", "other")
	repeatContent(table, caseOf("two"), 20, CrashThreshold, start, partsOf("bad"))
	wantParts(t, table, start, Refused, "bad", "other")
}

// Guards against verdicts that begin anew with each process that starts, and are told to all.
func TestVerdictsOfOthersAreNotProlonged(t *testing.T) {
	for _, crashes := range []int{CrashThreshold, CrashThreshold + 1, trialCrashes} {
		table := New(nil)
		for i := range crashes {
			crashParts(table, i, start, partsOf("bad", fmt.Sprint("other", i)))
		}
		left := table.EvaluateParts(partsOf("bad"), start).Remaining
		now := start.Add(left - time.Second)
		fromPeer, fromStore := New(nil), New(nil)
		fromPeer.ApplyReports(table.NextReports(now), now)
		for _, v := range table.PendingWrites(false, now) {
			fromStore.ApplyStored(v, now)
		}
		for name, fresh := range map[string]*Table{"peer": fromPeer, "store": fromStore} {
			if d := fresh.EvaluateParts(partsOf("bad"), now); d.Status != Refused || d.Remaining > time.Second {
				t.Errorf("%d crashes, from the %s: %+v, want refused for a second", crashes, name, d)
			}
			fresh.ScheduleResend(now)
			table.ApplyReports(fresh.NextReports(now), now)
		}
		wantParts(t, table, now.Add(2*time.Second), Suspect, "bad")
	}
}
