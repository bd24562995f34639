package router

import (
	"context"
	"sync"
	"time"

	"acaciakeel/fleet"
)

// runReports asks targets for their runs. All streams of a target that breaks off end at the same
// moment and share one question.
type runReports struct {
	sender Sender

	mu sync.Mutex
	// latest is the last question to each target that was asked within reportLag, or has no answer.
	latest map[fleet.Instance]*runQuestion
}

// runQuestion is one question to a target. report and err are valid once done is closed.
type runQuestion struct {
	askedAt time.Time
	done    chan struct{}
	report  RunReport
	err     error
}

func newRunReports(s Sender) *runReports {
	return &runReports{sender: s, latest: map[fleet.Instance]*runQuestion{}}
}

// ask returns a report for which the target was asked at notBefore or later.
func (r *runReports) ask(ctx context.Context, target fleet.Target, notBefore time.Time) (RunReport, error) {
	q := r.question(target, notBefore)
	select {
	case <-q.done:
		return q.report, q.err
	case <-ctx.Done():
		return RunReport{}, ctx.Err()
	}
}

// question returns the last question to a target, or asks a new one if that is too old.
func (r *runReports) question(target fleet.Target, notBefore time.Time) *runQuestion {
	instance := target.Instance()
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.latest[instance]; q != nil && !q.askedAt.Before(notBefore) {
		return q
	}
	q := &runQuestion{askedAt: time.Now(), done: make(chan struct{})}
	r.latest[instance] = q
	go func() {
		// Others may share the question, so it does not end with one of its requests.
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		q.report, q.err = r.sender.Runs(ctx, target)
		close(q.done)
		time.AfterFunc(reportLag, func() { r.remove(instance, q) })
	}()
	return q
}

func (r *runReports) remove(of fleet.Instance, q *runQuestion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest[of] == q {
		delete(r.latest, of)
	}
}
