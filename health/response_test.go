package health

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func ms(n int) time.Time { return begin.Add(time.Duration(n) * time.Millisecond) }

// failProbes lets probes of a suspected target fail until a time, each after ProbeTimeout,
// and returns when it was established, or -1.
func failProbes(t *ResponseTracker, from, until, heard, silent int) int {
	for at := from; at < until; at += 10 {
		if !t.ProbeDue(ms(at)) {
			if t.Establish(ms(at)) {
				return at
			}
			continue
		}
		t.StartProbe(heard, silent)
		started := at
		at += int(ProbeTimeout.Milliseconds())
		t.RecordProbe(ms(started), false, ms(at))
		if t.Establish(ms(at)) {
			return at
		}
	}
	return -1
}

// Guards against requests that wait for their deadline at a target that answers nothing,
// and against giving up a target that is paused for a second: requests there are overdue
// after 0.3 s at the earliest.
func TestOverdueTargetIsEstablished(t *testing.T) {
	tracker := &ResponseTracker{}
	tracker.Suspect(true, ms(0))
	if at := failProbes(tracker, 0, 5000, 10, 5); at < 700 || at > 1000 {
		t.Errorf("established after %d ms without an answer, want 700 to 1000", at)
	}
	if unresponsive, own := tracker.Unresponsive(ms(1000)); !unresponsive || !own {
		t.Error("an established target counts as responsive")
	}
	tracker.RecordResponse(ms(1100))
	if unresponsive, _ := tracker.Unresponsive(ms(1100)); unresponsive {
		t.Error("the first response does not end it")
	}
}

// Guards against an entry that is cut off and ejects all targets, also right after the
// cut: the probes that failed during it were not confirmed by responses of others.
func TestPartitionedEntryEstablishesNothing(t *testing.T) {
	tracker := &ResponseTracker{}
	tracker.Suspect(true, ms(0))
	if at := failProbes(tracker, 0, 20000, 0, 40); at >= 0 {
		t.Fatalf("established after %d ms though no other target responds", at)
	}
	if at := failProbes(tracker, 20000, 40000, 5, 40); at >= 0 {
		t.Fatalf("established after %d ms though most other targets do not respond", at)
	}
	if tracker.Establish(ms(40000)) {
		t.Error("established by probes that failed during the partition")
	}
}

// Guards against ejecting a target that is slow: a probe that connects ends the suspicion,
// and one that hangs costs few probes.
func TestAcceptedProbeEndsSuspicion(t *testing.T) {
	tracker := &ResponseTracker{}
	probes := 0
	for at := 0; at < 60000; at += 50 {
		tracker.Suspect(true, ms(at))
		if tracker.ProbeDue(ms(at)) {
			probes++
			tracker.StartProbe(10, 0)
			tracker.RecordProbe(ms(at), true, ms(at+2))
		}
		if tracker.Establish(ms(at)) {
			t.Fatal("a target that accepts connections was established")
		}
	}
	if probes > 20 {
		t.Errorf("%d probes in a minute, want at most 20", probes)
	}
}

// Guards against trusting another entry without bound, and against its report outweighing
// a later response to this entry.
func TestReportIsTrustedForBoundedTime(t *testing.T) {
	tracker := &ResponseTracker{}
	tracker.RecordReport(ms(0), ms(500))
	if unresponsive, own := tracker.Unresponsive(ms(500)); !unresponsive || own {
		t.Error("a report is not trusted")
	}
	if !tracker.ProbeDue(ms(500)) {
		t.Error("the target is not probed after a report")
	}
	if unresponsive, _ := tracker.Unresponsive(ms(0).Add(reportTTL)); unresponsive {
		t.Error("a report is trusted beyond its time")
	}
	tracker.StartProbe(0, 0)
	tracker.RecordProbe(ms(600), true, ms(602))
	tracker.RecordReport(ms(700), ms(800))
	if unresponsive, _ := tracker.Unresponsive(ms(800)); unresponsive {
		t.Error("a report outweighs a recent response to this entry")
	}
	late := ms(0).Add(2 * disputeTime)
	tracker.RecordReport(late.Add(-reportTTL), late)
	if unresponsive, _ := tracker.Unresponsive(late); unresponsive {
		t.Error("a report with evidence older than its time is trusted")
	}
	tracker.RecordReport(late, late)
	tracker.StartProbe(0, 0)
	tracker.RecordProbe(late, false, late.Add(ProbeTimeout))
	if !tracker.Establish(late.Add(ProbeTimeout)) {
		t.Error("one failed probe does not confirm a report")
	}
}

// Guards against taking a pause of this process for one of its targets: its timers and the
// answers that arrived meanwhile are handled together.
func TestProbeOfPausedProcessIsIgnored(t *testing.T) {
	tracker := &ResponseTracker{}
	tracker.Suspect(true, ms(0))
	tracker.StartProbe(10, 0)
	tracker.RecordProbe(ms(0), false, ms(5000))
	if _, failures := tracker.LastFailure(); failures != 0 {
		t.Error("a probe that took longer than its time-out counts as a failure")
	}
}

// Guards against a late time-out that undoes a response in the meantime.
func TestResponseDuringProbeOutweighsIt(t *testing.T) {
	tracker := &ResponseTracker{}
	tracker.Suspect(true, ms(0))
	tracker.StartProbe(10, 0)
	tracker.RecordResponse(ms(100))
	tracker.RecordProbe(ms(0), false, ms(300))
	if _, failures := tracker.LastFailure(); failures != 0 {
		t.Error("the probe counts as failed though the target responded while it ran")
	}
}
