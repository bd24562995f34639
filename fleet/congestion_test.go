package fleet

import (
	"testing"
	"time"

	"acaciakeel/health"
)

// linkSim is one process before targets a, b, c and lost, in virtual time. Requests run at
// all of them; those at a, b and c get events all the time.
type linkSim struct {
	f        *Fleet
	now      time.Time
	requests map[string]*ActiveRequest
	// answerTime is how long a target takes to answer a probe; 0 if it does not answer.
	answerTime func(target string) time.Duration
	probes     []linkProbe
	// silent are targets that send no bytes.
	silent map[string]bool
	// established is set when the process's own evidence sufficed against the target lost.
	established bool
}

type linkProbe struct {
	target    Target
	started   time.Time
	ends      time.Time
	responded bool
}

func newLinkSim() *linkSim {
	s := &linkSim{f: New("z"), now: start, requests: map[string]*ActiveRequest{}, silent: map[string]bool{"lost": true}}
	for _, id := range []string{"a", "b", "c", "lost"} {
		target := Target{ID: id, Service: "calls", Address: id + ":1", Slots: 8}
		s.f.Put(target)
		s.requests[id] = s.f.Begin(target.Instance(), RequestLoad{}, s.now)
		s.requests[id].Responded(s.now)
	}
	return s
}

func (s *linkSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		var pending []linkProbe
		for _, p := range s.probes {
			if p.ends.After(s.now) {
				pending = append(pending, p)
			} else {
				s.f.RecordProbe(p.target.Instance(), p.started, p.responded, s.now)
			}
		}
		s.probes = pending
		for id, r := range s.requests {
			if !s.silent[id] {
				r.EventReceived(s.now)
			}
		}
		if s.now.Sub(start)%(50*time.Millisecond) != 0 {
			continue
		}
		result := s.f.CheckResponses(s.now)
		for _, target := range result.Probes {
			took := s.answerTime(target.ID)
			p := linkProbe{target: target, started: s.now, ends: s.now.Add(took), responded: took > 0}
			if took == 0 {
				p.ends = s.now.Add(health.ProbeTimeout)
			}
			s.probes = append(s.probes, p)
		}
		for _, change := range result.Changes {
			s.established = s.established || change.Own && change.Target.ID == "lost"
		}
	}
}

// slowLink has all targets but lost answer probes, c without sending bytes, so that it is
// probed again and again.
func (s *linkSim) slowLink(answerTime time.Duration) {
	s.silent["c"] = true
	s.answerTime = func(target string) time.Duration {
		if target == "lost" {
			return 0
		}
		return answerTime
	}
}

// Guards against a process whose own link is slow and that considers targets unresponsive
// whose answers are lost on it, and against one whose link is not slow and that detects none.
func TestSlowLinkConfirmsNothing(t *testing.T) {
	for _, test := range []struct {
		name        string
		answerTime  time.Duration
		established bool
	}{
		{"slow", congestedProbe + 20*time.Millisecond, false},
		{"not slow", congestedProbe - 20*time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newLinkSim()
			s.slowLink(test.answerTime)
			// All requests are silent at first, so that several targets answer slowly.
			s.silent["a"], s.silent["b"] = true, true
			s.run(1500 * time.Millisecond)
			s.silent["a"], s.silent["b"] = false, false
			s.run(time.Second)
			if s.established != test.established {
				t.Errorf("established %v, want %v", s.established, test.established)
			}
		})
	}
}

// Guards against a lost target that is not detected after the link was slow.
func TestLossIsDetectedAfterSlowLink(t *testing.T) {
	s := newLinkSim()
	s.slowLink(congestedProbe + 20*time.Millisecond)
	s.run(1500 * time.Millisecond)
	s.slowLink(2 * time.Millisecond)
	s.run(congestionHold + 1500*time.Millisecond)
	if !s.established {
		t.Error("a lost target was not detected")
	}
}

// Guards against reports that keep each other alive: a failed probe over a slow link became
// own evidence if another process reported the target, and was reported in turn.
func TestSlowLinkConfirmsNoReport(t *testing.T) {
	s := newLinkSim()
	s.slowLink(congestedProbe + 20*time.Millisecond)
	s.f.congestedUntil = s.now.Add(congestionHold)
	s.f.MergeTargetUpdates([]TargetUpdate{{Target: s.f.states["lost"].target.Instance(), Unresponsive: true}}, s.now.Add(time.Millisecond))
	s.run(congestionHold - 100*time.Millisecond)
	if s.established {
		t.Error("a probe over a slow link confirmed the report of another process")
	}
}

// Guards against one slow target because of which no other loss is ever detected: it is
// probed about as often as congestionHold, each time with a slow answer.
func TestOneSlowTargetHidesNoLoss(t *testing.T) {
	s := newLinkSim()
	s.silent["c"] = true
	s.answerTime = func(target string) time.Duration {
		switch target {
		case "lost":
			return 0
		case "c":
			return congestedProbe + 20*time.Millisecond
		}
		return 2 * time.Millisecond
	}
	s.run(5 * time.Second)
	if !s.established {
		t.Error("a lost target was not detected in 5 s")
	}
}
