package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"acaciakeel/fleet"
)

// reportingSender says at each time what a target works on.
type reportingSender struct {
	soundSender
	report func(at time.Time) RunReport
}

func (s *reportingSender) Runs(context.Context, fleet.Target) (RunReport, error) {
	return s.report(time.Now()), nil
}

// Guards against a run that is taken for ended, or a request that goes on beside it, because a report
// names its ID for another send of the same request, from another entry.
func TestRunEndBesideAnotherSendOfTheRequest(t *testing.T) {
	const id = "sent-twice"
	// Times are from the end of this entry's attempt.
	type span struct{ from, to time.Duration }
	for name, test := range map[string]struct {
		begun, queued bool
		// own is until when the run of this entry's send lasts, other when that of another one does.
		own   time.Duration
		other span
		// goesOn are the results with which the request may go on.
		goesOn bool
	}{
		"own run ended":                             {begun: true, goesOn: true},
		"own run goes on":                           {begun: true, own: time.Hour},
		"own run ends, another one goes on":         {begun: true, other: span{-time.Second, time.Hour}},
		"own run ends late, another one began late": {begun: true, own: 300 * time.Millisecond, other: span{300 * time.Millisecond, time.Hour}},
		"own run ended, another one begins later":   {begun: true, other: span{700 * time.Millisecond, time.Hour}, goesOn: true},
		"own run waits, another one ended":          {queued: true, other: span{-time.Second, 0}},
		"own run waits, another one goes on":        {queued: true, other: span{-time.Second, time.Hour}},
		"neither waits":                             {other: span{-time.Second, 0}, goesOn: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := time.Now()
				sender := &reportingSender{report: func(at time.Time) RunReport {
					now := at.Sub(ended)
					runs := test.begun && now < test.own || test.other.from <= now && now < test.other.to
					return RunReport{Named: true, NoneQueued: !test.queued, Runs: map[string]bool{id: runs}}
				}}
				s := &session{router: &Router{runReports: newRunReports(sender)}, in: &admittedRequest{Request: &Request{ID: id}}, sentAt: ended.Add(-2 * time.Second)}
				s.unsettled.endedAt = ended
				if test.begun {
					s.attemptBegan = ended.Add(-time.Second)
				}
				result, asked := s.askRunEnd(t.Context(), fleet.Choice{})
				if goesOn := result == runEnded || result == runUnreached; goesOn != test.goesOn {
					t.Errorf("%s after %d questions, want to go on: %t", result, asked, test.goesOn)
				}
				time.Sleep(time.Minute) // the last questions are forgotten
			})
		})
	}
}
