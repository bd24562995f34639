package fleet

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"acaciakeel/forecast"
	"acaciakeel/health"
	"acaciakeel/placement"
	"acaciakeel/policy"
	"acaciakeel/quota"
)

// targetState is everything this process knows of one target.
type targetState struct {
	target    Target
	candidate placement.Runner
	health    health.Tracker
	// weights are the confirmed versions by model: those that the target reported or that
	// were observed there. guessedWeights are higher versions that it has likely loaded,
	// kept until a version is confirmed.
	weights        map[string]int64
	guessedWeights map[string]int64
	// weightsKnownAt is when each model's assumed version was first heard of.
	weightsKnownAt map[string]time.Time
	// inflight counts this process's requests at the target, prefillTokens the prompt
	// tokens of those that have had no first event yet.
	inflight      int
	prefillTokens int
	// long counts those requests that are expected to hold a slot for seconds, longer than a
	// load of weights takes; see isLong.
	long int
	// resumable counts those requests that another target could continue.
	resumable int
	// heldTokens is the memory that this process's requests hold at the target, in tokens.
	heldTokens int
	// classes has inflight, prefillTokens and heldTokens by priority class.
	classes [PriorityClasses]ClassLoad
	// peerLoads is the load that each other process of this one's peering group reported,
	// groupLoads the combined load of each other peering group.
	peerLoads  map[string]timedOccupancy
	groupLoads map[int]timedOccupancy
	load       Load
	loadAt     time.Time
	// inflightAtLoad is inflight when load was reported; it separates this process's
	// requests from those of others.
	inflightAtLoad int
	cache
	// unsharedParts are the parts first sent to the target since the last update to the
	// other processes.
	unsharedParts []Part
	// weightsSeenAt is when this process itself last observed a change of the weights.
	weightsSeenAt time.Time
	// busyUntil is until when a load order is expected to keep new requests out,
	// observedBusyUntil the same from this process's own observations.
	busyUntil         time.Time
	observedBusyUntil time.Time
	limit             limitState
	backoff           backoffState
	speed             speedState
	slowdown          slowdownState
	// prefillMean is the recent mean of the tokens to be prefilled there, as of
	// prefillMeanAt.
	prefillMean   float64
	prefillMeanAt time.Time
	// eventPace is the recent mean of its streams' pauses without prefill.
	eventPace forecast.EventPaceSample
	// shutdownAt is when the target's shutdown became known, shutdownObservedAt when the
	// target last announced it to this process.
	shutdownAt         time.Time
	shutdownObservedAt time.Time
	// listedDraining is set while the platform's list calls the target draining.
	listedDraining bool
	// buildUnlisted is set from a restart until the entry of the new instance is listed: its
	// software version is not known.
	buildUnlisted bool
	// failedAt is when it last failed a request whose client was waiting, heardAt when the
	// instance was last listed or heard from itself.
	failedAt, heardAt time.Time
	// askedAt is when the target was last asked which instance it is and answered.
	askedAt time.Time
	// startKnownAt is when the target's start was first heard of.
	startKnownAt time.Time
	// identifiedAt is when the target was last asked which instance it is.
	identifiedAt time.Time
	// malformed is set once a field of the target's notices could not be parsed.
	malformed bool
	// restartUnshared is set until an update to the other processes includes that this
	// instance follows another, and restartSharedAt is when that was.
	restartUnshared bool
	restartSharedAt time.Time
	// response tracks whether the target responds, active are this process's requests there.
	response health.ResponseTracker
	active   map[*ActiveRequest]struct{}
	probedAt time.Time
	// reportedUnresponsive is the state that CheckResponses last returned, unresponsiveSince
	// when it became true. unresponsiveSharedAt is when an update to the other processes
	// last named the target, unresponsiveReportedAt when one of theirs did.
	reportedUnresponsive                         bool
	unresponsiveSince                            time.Time
	unresponsiveSharedAt, unresponsiveReportedAt time.Time
}

func newTargetState() *targetState {
	return &targetState{weights: map[string]int64{}, guessedWeights: map[string]int64{}, weightsKnownAt: map[string]time.Time{}, cache: newCache(), active: map[*ActiveRequest]struct{}{}}
}

// Fleet is one process's view of the targets. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	states   map[string]*targetState
	services map[string]*group
	// regroupNeeded is set while services and byAddress are out of date with states.
	regroupNeeded bool
	stores        map[string]*cacheStore
	// byAddress are the states by address.
	byAddress map[string]*targetState
	desired   map[string]*desiredHistory
	// engines are the latency estimators by service, serviceSpeeds what is computed from the
	// speeds of each service's targets.
	engines       map[string]*forecast.Estimator
	serviceSpeeds map[string]*serviceSpeeds
	// profiles are the sizes of this process's requests by service.
	profiles map[string]*classProfile
	members  members
	zone     string
	disabled policy.Disabled
	// peerReports are the processes of the peering group that reported their load recently.
	peerReports map[string]*peerReport
	// peerInterval is the interval between load reports of the other processes of the peering
	// group, groupInterval that between reports of the other peering groups.
	peerInterval  reportInterval
	groupInterval reportInterval
	// onRestart is called with each later instance of a target and the one that it
	// replaces.
	onRestart func(now, former Instance)
	// onStartDisproved is called with the true instance of a target and the one that was believed.
	onStartDisproved func(now, believed Instance)
	// disproved are starts that turned out to be false, by target ID.
	disproved map[string]int64
	// onEnd is called with each instance that was observed to have ended.
	onEnd func(Instance)
	// onBuildChange is called with the new entry of a target whose software version changed.
	onBuildChange func(Target)
	// limiter enforces the limits that targets declare; nil enforces none. limitsChanged
	// is set while the limits that it enforces are out of date.
	limiter       *quota.Limiter
	limitsChanged bool
	// shutdowns are the instances that announced their shutdown, by target ID.
	shutdowns map[string]shutdown
	// formerBuilds are the software versions that targets had, and when they last did.
	formerBuilds map[serviceBuild]time.Time
	// retained is the state of targets without a list entry, by target ID.
	retained map[string]retainedState
	// congestedUntil is until when this process's own link counts as slow, congestedBy the
	// target whose slow answer showed that.
	congestedUntil time.Time
	congestedBy    string
	// responseTimesByService are the usual times without bytes of responses, by service.
	responseTimesByService map[string]*responseTimes
	// probeBudget is how many probes may be started, as of probeBudgetAt.
	probeBudget    float64
	probeBudgetAt  time.Time
	probesInFlight int
	// orphaned end the requests at targets that were removed while they did not respond.
	orphaned []func()
	// replacementChecks are the checks in progress by target ID, holderRounds counts their rounds
	// in progress.
	replacementChecks map[string]*replacementCheck
	holderRounds      int
	// random returns random numbers in [0, 1) for choices among targets.
	random func() float64
}

// group is the targets of one service; candidates has them in the same order, in the form
// that placement takes.
type group struct {
	states     []*targetState
	candidates []placement.Runner
	// builds has the number of targets that take new requests by software version, 0 for a
	// version whose targets are all draining. It is replaced, never changed.
	builds map[string]int
}

// New returns an empty view for a process in the data centre zone.
func New(zone string) *Fleet {
	return &Fleet{
		states:                 map[string]*targetState{},
		services:               map[string]*group{},
		stores:                 map[string]*cacheStore{},
		byAddress:              map[string]*targetState{},
		desired:                map[string]*desiredHistory{},
		engines:                map[string]*forecast.Estimator{},
		profiles:               map[string]*classProfile{},
		peerReports:            map[string]*peerReport{},
		shutdowns:              map[string]shutdown{},
		formerBuilds:           map[serviceBuild]time.Time{},
		retained:               map[string]retainedState{},
		disproved:              map[string]int64{},
		responseTimesByService: map[string]*responseTimes{},
		replacementChecks:      map[string]*replacementCheck{},
		random:                 rand.Float64,

		serviceSpeeds: map[string]*serviceSpeeds{},
		zone:          zone,
	}
}

// Disable switches mechanisms off. It must be called before the view is used.
func (f *Fleet) Disable(off policy.Disabled) {
	f.disabled = off
}

// Disabled reports whether a mechanism is switched off.
func (f *Fleet) Disabled(m policy.Mechanism) bool {
	return f.disabled[m]
}

// Put stores a target's entry from the platform's list. It reports whether the entry is
// of the current instance; an entry of a former one changes nothing.
func (f *Fleet) Put(r Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states[r.ID] == nil {
		f.states[r.ID] = f.restoreState(r.Instance())
	}
	s := f.lookup(r.Instance())
	if s == nil {
		return false
	}
	r.Born = s.target.Born
	s.listedDraining = r.Draining
	if r.Draining = r.Draining || f.isShuttingDown(r.Instance()); r.Draining && !s.listedDraining && s.shutdownAt.IsZero() {
		s.shutdownAt = f.shutdowns[r.ID].at
	}
	now := time.Now()
	if s.target.Service != "" && (s.target.Service != r.Service || s.target.Build != r.Build) {
		f.noteBuildGone(s.target, now)
		if f.onBuildChange != nil {
			f.onBuildChange(r)
		}
	}
	s.buildUnlisted, s.heardAt = false, now
	regroup := s.target.Service != r.Service || s.target.Address != r.Address || s.target.Draining != r.Draining || s.target.Build != r.Build
	s.target = r
	f.setListedWeights(s, r.Weights, now)
	s.updateCandidate()
	if regroup {
		f.regroupNeeded = true
	}
	return true
}

// updateCandidate applies a change of the target's data centre or draining state to its
// placement candidate.
func (s *targetState) updateCandidate() {
	s.candidate = placement.NewRunner(s.target.ID, s.target.Zone, "", s.target.Draining)
}

// Remove deletes a target whose list entry is gone, and returns its last entry.
func (f *Fleet) Remove(id string) (last Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.states[id]
	if !ok {
		return Target{}, false
	}
	f.retain(s)
	f.noteBuildGone(s.target, time.Now())
	f.abandonSilent(s, time.Now())
	delete(f.states, id)
	f.regroupNeeded, f.limitsChanged = true, true
	return s.target, true
}

// RecordEnd removes an instance that was observed to have ended, whatever the list says.
// A later instance stays.
func (f *Fleet) RecordEnd(l Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCurrent(l) {
		f.removeEnded(f.states[l.ID])
	}
}

// removeEnded removes a target whose instance has ended; the caller holds mu.
func (f *Fleet) removeEnded(s *targetState) {
	instance := s.target.Instance()
	f.noteBuildGone(s.target, time.Now())
	delete(f.states, instance.ID)
	f.regroupNeeded, f.limitsChanged = true, true
	if f.onEnd != nil {
		f.onEnd(instance)
	}
}

// group returns a service's targets, or nil if it has none; the caller holds mu.
func (f *Fleet) group(service string) *group {
	f.regroup()
	return f.services[service]
}

// regroup rebuilds the indexes by service and by address if they are out of date. It runs
// before a lookup and not after each change: a listing brings thousands of targets at
// once, and an index rebuilt for each would take minutes on a small VM.
func (f *Fleet) regroup() {
	if !f.regroupNeeded {
		return
	}
	f.regroupNeeded = false
	byService := map[string]*group{}
	f.byAddress = make(map[string]*targetState, len(f.states))
	for _, s := range f.states {
		f.byAddress[s.target.Address] = s
		g := byService[s.target.Service]
		if g == nil {
			g = &group{builds: map[string]int{}}
			byService[s.target.Service] = g
		}
		g.states = append(g.states, s)
		g.candidates = append(g.candidates, s.candidate)
		g.builds[s.target.Build] += readyTargets(s.target)
	}
	f.services = byService
}

// Targets returns the targets of a service with the weights known of each.
func (f *Fleet) Targets(service string) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(service)
	if g == nil {
		return nil
	}
	out := make([]Target, 0, len(g.states))
	for _, s := range g.states {
		r := s.target
		r.Weights = maps.Clone(s.weights)
		out = append(out, r)
	}
	return out
}

// Available reports whether an instance is current, listed and takes new requests.
func (f *Fleet) Available(l Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCurrent(l) && !f.states[l.ID].target.Draining
}

// Occupancy returns a target's load over all processes, as far as they reported it.
func (f *Fleet) Occupancy(l Instance) Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		return s.totalOccupancy(time.Now())
	}
	return Occupancy{}
}
