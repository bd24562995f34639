package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/retry"
)

const (
	// reportLag is how old the runs in a target's report may be. The platform says some hundred
	// milliseconds.
	reportLag = 500 * time.Millisecond
	// askInterval is the pause between two questions to a target for its runs.
	askInterval = 100 * time.Millisecond
	// runEndPatience is for how long a target is asked further after its report must name a run that
	// it still works on.
	runEndPatience = 300 * time.Millisecond
)

// RunReport is what a target says of the requests that it works on, as of reportLag ago at most.
type RunReport struct {
	// Ended is set if the instance that was asked has ended.
	Ended bool
	// Runs has the IDs of the requests that have begun. Named is false if the target names none, or
	// in a form that can't be read.
	Runs  map[string]bool
	Named bool
	// Idle is set if it states that no request runs or waits, NoneQueued if none waits.
	Idle       bool
	NoneQueued bool
}

// lacks reports whether a request is not worked on by the target. begun is set if it had begun there.
func (r *RunReport) lacks(id string, begun bool) bool {
	return r.Idle || r.Named && !r.Runs[id] && (begun || r.NoneQueued)
}

// What became of a run whose response the entry has given up; label values of its counter.
const (
	// runEnded: the target does not work on it any more.
	runEnded = "ended"
	// runUnreached: the target answered no question, so it can't be told.
	runUnreached = "unreached"
	// runContinues: the target still named the run when it must have noticed the closed connection.
	runContinues = "continues"
	// runUnknown: the target's reports don't tell.
	runUnknown = "unknown"
	// runCanceled: the request ended first.
	runCanceled = "canceled"
)

// awaitRunEnd waits until it is known whether the target of the last attempt still works on the
// request, and reports whether the request may go on at another one: not every engine notices a closed
// connection. Plain targets are not asked. They have no report, and only requests that may run more
// than once are repeated there.
func (s *session) awaitRunEnd(ctx context.Context, choice fleet.Choice) bool {
	if s.unsettled.reason == "" || choice.Model == "" || s.unsettled.reason == retry.Unresponsive {
		return true
	}
	start := time.Now()
	result, asked := s.askRunEnd(ctx, choice)
	s.router.metrics.runEnds.WithLabelValues(result).Observe(time.Since(start).Seconds())
	s.router.log.WithFields(logrus.Fields{
		"event": "run_end", "request": s.in.ID, "target": choice.Target.ID, "born": choice.Target.Born, "reason": s.unsettled.reason,
		"begun": !s.attemptBegan.IsZero(), "result": result, "asked": asked, "waited_ms": time.Since(start).Milliseconds(),
	}).Info("asked the target whether it still works on the request")
	return result == runEnded || result == runUnreached
}

// askRunEnd asks the target of the last attempt for its runs until they tell, and returns what became
// of the run and how often it was asked.
func (s *session) askRunEnd(ctx context.Context, choice fleet.Choice) (result string, asked int) {
	begun, endedAt := !s.attemptBegan.IsZero(), s.unsettled.endedAt
	// A run that the target works on is named by reports from then on.
	named := s.attemptBegan.Add(reportLag)
	if !begun {
		named = later(endedAt, s.sentAt.Add(2*choice.FirstToken)).Add(reportLag)
	}
	end := later(named, endedAt.Add(reportLag)).Add(runEndPatience)
	result = runUnreached
	// A target that has ended says so at once.
	for at := endedAt; !at.After(end); at = later(named, time.Now().Add(askInterval)) {
		if !sleepUntil(ctx, at) {
			return runCanceled, asked
		}
		asked++
		report, err := s.router.runReports.ask(ctx, choice.Target, at)
		switch {
		case ctx.Err() != nil:
			return runCanceled, asked
		case err != nil:
		case report.Ended, !at.Before(named) && report.lacks(s.in.ID, begun):
			return runEnded, asked
		case report.Runs[s.in.ID]:
			result = runContinues
		default:
			result = runUnknown
		}
	}
	return result, asked
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sleepUntil waits until a time and reports whether ctx lasted until then.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
