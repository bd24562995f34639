package fleet

import (
	"maps"
	"slices"
	"time"
)

// buildRetention is how long a software version without listed targets still counts as one of
// its service: clients may resume streams that it began.
const buildRetention = time.Minute

// serviceBuild is a software version of a service's targets.
type serviceBuild struct {
	service string
	build   string
}

// OnBuildChange sets the function that is called with the new entry of a target that was listed
// with another software version before. It must be set before the view is used; the function
// must not use the view, which is locked.
func (f *Fleet) OnBuildChange(callback func(Target)) {
	f.onBuildChange = callback
}

// noteBuildGone records that a target no longer has its software version: its entry has gone,
// or it has restarted with another one; the caller holds mu.
func (f *Fleet) noteBuildGone(t Target, now time.Time) {
	maps.DeleteFunc(f.formerBuilds, func(_ serviceBuild, at time.Time) bool { return now.Sub(at) > buildRetention })
	f.formerBuilds[serviceBuild{t.Service, t.Build}] = now
}

// Builds returns the software versions that a service's targets have had recently, in
// ascending order.
func (f *Fleet) Builds(service string, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	if g := f.group(service); g != nil {
		out = slices.Collect(maps.Keys(g.builds))
	}
	for b, at := range f.formerBuilds {
		if b.service == service && now.Sub(at) <= buildRetention {
			out = append(out, b.build)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// BuildTargets returns the software versions of a service's listed targets with the number of
// those that take new requests. The result must not be changed.
func (f *Fleet) BuildTargets(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	if g == nil {
		return nil
	}
	return g.builds
}

// readyTargets returns 1 for a target that takes new requests, otherwise 0.
func readyTargets(t Target) int {
	if t.Draining {
		return 0
	}
	return 1
}

// BuildListed reports whether a service has a listed target of a software version that takes
// new requests.
func (f *Fleet) BuildListed(service, build string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	return g != nil && g.builds[build] > 0
}

// ConfirmedBuild returns the software version with which a target produced an event for a
// request that was sent when it was listed as t. ok is false if it may have restarted with
// another one; listOutdated is set if the list has not been confirmed recently.
func (f *Fleet) ConfirmedBuild(t Target, listOutdated bool, now time.Time) (build string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[t.ID]
	if s == nil {
		return t.Build, !listOutdated || t.Born == 0
	}
	same := s.target.Instance().Matches(t.Instance()) && s.target.Build == t.Build
	if f.hasSeveralBuilds(t.Service, now) {
		return t.Build, same && !s.mayHaveRestarted(listOutdated, now)
	}
	return t.Build, same && !s.isUnlisted(listOutdated, now)
}

// hasSeveralBuilds reports whether a service's targets have had several software versions
// recently; the caller holds mu.
func (f *Fleet) hasSeveralBuilds(service string, now time.Time) bool {
	g := f.group(service)
	if g == nil {
		return false
	}
	if len(g.builds) > 1 {
		return true
	}
	for b, at := range f.formerBuilds {
		if b.service == service && b.build != g.states[0].target.Build && now.Sub(at) <= buildRetention {
			return true
		}
	}
	return false
}

// identifyInterval is how often a target that fails requests is asked which instance it is.
const identifyInterval = 300 * time.Millisecond

// RecordInterruption records that a target failed a request while its client was waiting, so that
// it may have restarted. It reports whether the target is to be asked which instance it is: its
// service has had several software versions, and it was not asked just before.
func (f *Fleet) RecordInterruption(l Instance, now time.Time) (identify bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || s.target.Born == 0 {
		return false
	}
	s.failedAt = now
	if now.Sub(s.identifiedAt) < identifyInterval || !f.hasSeveralBuilds(s.target.Service, now) {
		return false
	}
	s.identifiedAt = now
	return true
}

// NeedsIdentity reports whether a target is to be asked which instance it is before a stream is
// continued there: it may have restarted with another software version since it was last heard from.
// Where the stream broke off at this process, a service with one version need not be asked, as the
// target that failed counts as restarted; elsewhere is set if it may have done so at another one.
func (f *Fleet) NeedsIdentity(l Instance, elsewhere bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.lookup(l)
	if s == nil || s.target.Born == 0 || now.Sub(s.askedAt) <= identityValidity {
		return false
	}
	return elsewhere || f.hasSeveralBuilds(s.target.Service, now)
}

// identityValidity is how long after a question the target's answer proves which instance it is: a
// restart takes longer. The answer itself may have been on its way for any time.
const identityValidity = 5 * time.Millisecond

// Times after which a target may have restarted unnoticed.
const (
	// restartWindow is how long a target that failed a request is taken to have restarted,
	// unless it is heard from: its new entry reaches the processes within that time.
	restartWindow = 3 * time.Second
	// silenceWindow is how long a target that was heard from is taken not to have restarted
	// while the list is outdated: two reads of its cache events.
	silenceWindow = 2 * time.Second
)

// mayHaveRestarted reports whether a target may run another software version than its entry
// says. Targets whose start is not stated get a new ID with each start.
func (s *targetState) mayHaveRestarted(listOutdated bool, now time.Time) bool {
	failed := s.failedAt.After(s.heardAt) && now.Sub(s.failedAt) < restartWindow
	return s.isUnlisted(listOutdated, now) || failed && s.target.Born != 0
}

// isUnlisted reports whether the target's entry is that of an earlier start, or may be.
func (s *targetState) isUnlisted(listOutdated bool, now time.Time) bool {
	return s.buildUnlisted || listOutdated && s.target.Born != 0 && now.Sub(s.heardAt) > silenceWindow
}

// UnconfirmedTargets returns the targets that a request bound to a software version can't be sent
// to only because they may have restarted.
func (f *Fleet) UnconfirmedTargets(q Query, now time.Time) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(q.Service)
	if g == nil || !q.BuildBound {
		return nil
	}
	tried := f.currentIDs(q.Tried)
	var out []Target
	for _, s := range g.states {
		if s.target.Build == q.Build && !s.target.Draining && !s.buildUnlisted && s.mayHaveRestarted(q.ListOutdated, now) && !slices.Contains(tried, s.target.ID) {
			out = append(out, s.target)
		}
	}
	return out
}

// hasBuild reports whether a target has a software version at which the request may run.
func (q Query) hasBuild(s *targetState, now time.Time) bool {
	if !q.BuildBound {
		return len(q.Builds) == 0 || slices.Contains(q.Builds, s.target.Build)
	}
	return s.target.Build == q.Build && !s.mayHaveRestarted(q.ListOutdated, now)
}
