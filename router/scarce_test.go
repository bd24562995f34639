package router

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/poison"
	"acaciakeel/policy"
	"acaciakeel/prefix"
	"acaciakeel/refusal"
	"acaciakeel/sharing"
)

// Guards against admitting late work that its client no longer waits for, or that fills the
// queues of the targets so that more urgent requests are turned away there.
func TestLateWorkIsBoundedByPatienceAndQueues(t *testing.T) {
	for _, test := range []struct {
		name                      string
		objective, run, remaining time.Duration
		want                      time.Duration
	}{
		{"a draft whose client abandons it after 8 s", 2 * time.Second, 3 * time.Second, 15 * time.Second, 6 * time.Second},
		{"a draft with a short run", 2 * time.Second, time.Second, 15 * time.Second, 2 * time.Second},
		{"one near its deadline", 2 * time.Second, 3 * time.Second, 5 * time.Second, 1500 * time.Millisecond},
		{"one past its deadline", 2 * time.Second, 3 * time.Second, time.Second, 0},
		{"one without a deadline", 600 * time.Millisecond, 2 * time.Second, 0, 1800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := maxLateWait(test.objective, test.run, test.remaining); got != test.want {
				t.Errorf("maximum late wait %v, want %v", got, test.want)
			}
		})
	}
}

// overloaded returns a session of an urgent or a less urgent request at a service with one
// target, which is full of runs of 3 s.
func overloaded(t *testing.T, off policy.Disabled, priority int) *session {
	t.Helper()
	now := time.Now()
	f := fleet.New("z")
	f.Disable(off)
	f.Put(fleet.Target{ID: "a", Service: "lm", Address: "a:1", Zone: "z", Slots: 32, Weights: map[string]int64{"m": 1}})
	load := fleet.RequestLoad{UncachedTokens: 628, PromptTokens: 826, MaxOutputTokens: 58, HeldTokens: 800, Class: fleet.PriorityClass(fleet.Priority(2, 2))}
	var runs []*fleet.ActiveRequest
	for range 60 {
		r := f.Begin(fleet.Instance{ID: "a"}, load, now.Add(-4*time.Second))
		r.FirstEvent(now.Add(-3900 * time.Millisecond))
		runs = append(runs, r)
	}
	for _, r := range runs {
		r.Complete(now.Add(-900 * time.Millisecond))
		r.End()
	}
	for i := range 60 {
		if r := f.Begin(fleet.Instance{ID: "a"}, load, now); i < 32 {
			r.FirstEvent(now)
		}
	}
	sharer := sharing.New("e/1", func() int { return 1 }, prefix.NameHash, now.Add(-time.Minute))
	for i := range 100 {
		sharer.Decide(sharing.Request{Service: "lm", Class: fleet.PriorityClass(fleet.Priority(2, 2)), Customer: "busy", Cost: sharing.Cost{Slot: 94 * time.Millisecond}, Targets: 1, Content: sharing.Content{1, byte(i)}, Wait: time.Hour}, now.Add(-2*time.Second))
		sharer.Decide(sharing.Request{Service: "lm", Class: 0, Customer: "first", Cost: sharing.Cost{Slot: 3 * time.Millisecond}, Targets: 1, Content: sharing.Content{2, byte(i)}, Wait: time.Hour}, now.Add(-200*time.Millisecond))
	}
	sharer.Update(now)
	r := &Router{fleet: f}
	r.ShareCapacity(sharer)
	in := &admittedRequest{
		Request: &Request{ID: "r", Model: "m", InputTokens: 826, MaxOutputTokens: 58, Prefix: []Part{{ID: "p", Tokens: 826}}, Received: now},
		route:   &catalog.Route{Name: "drafts", Kind: catalog.Stream, Objective: 2 * time.Second, Priority: priority, Attempts: 1},
		service: &catalog.Service{Name: "lm", Engine: &catalog.Engine{CapacityTokens: 1 << 20}}, customer: &catalog.Customer{Name: "busy"}, deadline: now.Add(15 * time.Second),
	}
	return &session{router: r, in: in}
}

// Guards against urgent requests that are refused behind less urgent ones, and against
// refusing drafts that would be late while their clients still wait for them.
func TestScarceTargetsServeUrgentAndLateWork(t *testing.T) {
	for _, test := range []struct {
		name     string
		off      policy.Disabled
		priority int
		admitted bool
	}{
		{"urgent", nil, 0, true},
		{"late", nil, 2, true},
		{"late, without late work", policy.Disabled{policy.LateAdmission: true, policy.LightWaitAllowance: true}, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := overloaded(t, test.off, test.priority)
			choice, ok := s.choose()
			if !ok {
				t.Fatal("no target")
			}
			if refused := s.refuseAdmission(choice); (refused == nil) != test.admitted {
				t.Errorf("refused: %v, with an expected wait of %v", refused, choice.Wait)
			}
		})
	}
}

// Guards against refusals that an operator cannot explain from their log line.
func TestRefusalNamesWhatTookPrecedence(t *testing.T) {
	s := overloaded(t, policy.Disabled{policy.LateAdmission: true}, 2)
	choice, ok := s.choose()
	if !ok {
		t.Fatal("no target")
	}
	var refused *refusal.Error
	for i := range 200 {
		s.in.content = poison.Fingerprint{3, byte(i)}
		if refused = s.refuseAdmission(choice); refused != nil {
			break
		}
	}
	if refused == nil || refused.Kind != refusal.CapacityShared || refused.RetryAfter <= 0 {
		t.Fatalf("refused: %+v", refused)
	}
	fields := logrus.Fields{}
	s.scarce.addLogFields(fields, "busy")
	if fields["class"] != fleet.PriorityClass(fleet.Priority(2, 2)) || fields["first_class"] != 0 || fields["first_customer"] != "first" || fields["admitted_part"].(float64) >= 1 {
		t.Errorf("log fields %v", fields)
	}
}
