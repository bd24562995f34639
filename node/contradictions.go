package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/fleet"
	"acaciakeel/store"
)

// Times of the check of an entry that contradicts what is believed of its target.
const (
	// targetReportTimeout bounds the wait for the target's own report.
	targetReportTimeout = time.Second
	// earlierStartHold is how long an entry that names an earlier start stands in the list before it
	// is believed although its target did not tell its start. If it were a late write of a former
	// instance, the current one would have replaced it by then: targets write about every second.
	earlierStartHold = 1500 * time.Millisecond
)

// earlierStarts are the entries that name an earlier start of their target than is believed. Either
// is wrong: the entry is a late write of a former instance, or the later start was never true.
type earlierStarts struct {
	mu sync.Mutex
	// revisions are those of the latest such entries, by target ID.
	revisions map[string]store.Position
}

// add records such an entry.
func (e *earlierStarts) add(id string, revision store.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.revisions == nil {
		e.revisions = map[string]store.Position{}
	}
	e.revisions[id] = revision
}

// forget is called before a later entry of a target, or its removal, is applied.
func (e *earlierStarts) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.revisions, id)
}

// ifLatest calls apply if a target has no later entry than the one of a revision. A later one is
// applied after that.
func (e *earlierStarts) ifLatest(id string, revision store.Position, apply func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.revisions[id] == revision {
		apply()
	}
}

// checkEarlierStart finds out whether an entry that names an earlier start than is believed is true,
// and applies it then: its target says so, or the list goes on saying so.
func (v *view) checkEarlierStart(r fleet.Target, revision store.Position) {
	v.earlier.add(r.ID, revision)
	listedAt := time.Now()
	go func() {
		v.askTarget(r)
		if v.fleet.Born(r.ID) != r.Born {
			time.Sleep(time.Until(listedAt.Add(earlierStartHold)))
		}
		v.earlier.ifLatest(r.ID, revision, func() {
			if v.fleet.AcceptEarlierStart(r.Instance(), listedAt) {
				v.putTarget(r)
			}
		})
	}()
}

// askTarget asks a target for its report, and applies what it says of its start and its weights.
func (v *view) askTarget(r fleet.Target) {
	if v.report == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), targetReportTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := v.report(ctx, r)
	if err != nil {
		v.log.WithError(err).WithFields(logrus.Fields{"event": "target_unasked", "target": r.ID}).Info("could not ask the target for its start and weights, which the list contradicts")
		return
	}
	instance := fleet.Instance{ID: r.ID, Born: report.Born}
	if instance.Born != 0 {
		v.fleet.Observe(instance, askedAt)
	}
	for model, version := range report.Weights {
		v.fleet.RecordAnsweredWeights(instance, model, version, askedAt, time.Now())
	}
}

// startDisproved is called when the start that was believed of a target turns out to be false.
func (v *view) startDisproved(now, believed fleet.Instance) {
	v.log.WithFields(logrus.Fields{"event": "target_start_disproved", "target": now.ID, "born": now.Born, "believed": believed.Born}).Warn("the target did not start as late as was believed; its earlier start holds")
}
