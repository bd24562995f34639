package quota

import (
	"math"
	"slices"
	"time"
)

// sender is another process that reports its own usage, or one that reports the usage of
// another group.
type sender struct {
	name         string
	lastReceived time.Time
	// minDelay is the least delay of its updates, including the difference of the start
	// times, by the name of the process, and extraDelay how much longer the last one took.
	minDelay   map[string]time.Duration
	extraDelay time.Duration
	// isolated is for how long it was unreachable, and silent is set once its present silence
	// was detected.
	isolated time.Duration
	silent   bool
	// startedLater is set if the sender started after this process: everything it has
	// admitted was admitted since this process has been counting.
	startedLater bool
	// group is set if it reports for another group, and processes is the number of
	// processes that it reports for.
	group     bool
	processes int
	// timeout is the silence after which it counts as unreachable.
	timeout time.Duration
}

// Timeouts of senders.
const (
	// peerTimeout is the silence after which a process counts as unreachable: four pulses
	// of a full group. From then on its share of the limit is left to it.
	peerTimeout = 600 * time.Millisecond
	// groupTimeout is the same for another group, whose updates take two pulses and a
	// digest, at times at half the rate.
	groupTimeout = 1500 * time.Millisecond
	// senderRetention is how long the reports of a silent sender are kept.
	senderRetention = time.Minute
	// maxRelayDelays bounds the relays of a group whose delays are known.
	maxRelayDelays = 64
)

func (s *sender) reachable(now time.Time) bool {
	return now.Sub(s.lastReceived) <= s.timeout
}

// age returns the least age of the sender's last report.
func (s *sender) age(now time.Time) time.Duration {
	return now.Sub(s.lastReceived) + s.extraDelay
}

// recordArrival records an update that the sender sent at the given uptime. started is the
// start of this process.
func (s *sender) recordArrival(uptime time.Duration, started, now time.Time) {
	delay := now.Sub(started) - uptime
	if len(s.minDelay) >= maxRelayDelays {
		clear(s.minDelay)
	}
	if least, known := s.minDelay[s.name]; !known || delay < least {
		if s.minDelay == nil {
			s.minDelay = map[string]time.Duration{}
		}
		s.minDelay[s.name] = delay
	}
	s.lastReceived, s.extraDelay = now, delay-s.minDelay[s.name]
}

// reachableProcesses returns the number of processes that exchange updates with this one,
// including it. The caller holds mu.
func (lim *Limiter) reachableProcesses(now time.Time) int {
	n := 1
	for _, s := range lim.senders {
		if s.reachable(now) {
			n += s.processes
		}
	}
	return n
}

// limitFraction returns the fraction of each limit that belongs to the processes that reach
// each other. Unreachable processes that may be serving keep theirs. A minority whose lease
// has lapsed gets none, as the other processes no longer count it.
func (lim *Limiter) limitFraction(now time.Time) float64 {
	reachable := lim.reachableProcesses(now)
	expected := lim.expectedProcesses(now)
	if reachable >= expected {
		return 1
	}
	fraction := float64(reachable) / float64(expected)
	if fraction < quorumShare && !lim.hasLease() && !lim.warmingUp(now) {
		return 0
	}
	return fraction
}

// UsageReport is the usage of one account at a process or a group.
type UsageReport struct {
	// Customer is the hash of the account's name.
	Customer uint64
	// Total is the amount admitted since the sender's start, Demand the amount requested
	// lately.
	Total  float64
	Demand float64
	// Increase is the part of Total that was not in the report before.
	Increase float64
	// Level is the remaining amount as known to the sender.
	Level float64
}

// UsageUpdate holds the reports of a process or a group on its accounts.
type UsageUpdate struct {
	Sender string
	// Uptime is the time since the sender's start.
	Uptime  time.Duration
	Reports []UsageReport
	// Processes is the number of processes that the sender reports for.
	Processes int
}

// reportState is the state of an account's reports to one group of receivers.
type reportState struct {
	total      float64
	reportedAt time.Time
	// repeated is set once the last change has been reported twice.
	repeated bool
	// refusedSince is set if requests were refused since the last report.
	refusedSince bool
	// activationBase is the total that the first reports of a new relay start from.
	activationBase float64
}

// Parameters of reports.
const (
	// refusalReportInterval is the least time between reports that only refusals cause, as
	// they change the demand.
	refusalReportInterval = 100 * time.Millisecond
	// repeatInterval is the time after which small changes are reported, and a report that
	// may be lost is repeated.
	repeatInterval = 400 * time.Millisecond
	// MaxReports bounds the reports of one update; the others are sent with the next.
	MaxReports = 256
)

// PeerUpdate returns the usage to report to the peers now.
func (lim *Limiter) PeerUpdate(now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.dropInactive(now)
	lim.detectSilence(now)
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: lim.reachableProcesses(now)}
	for id, a := range lim.accounts {
		a.history.add(a.admittedInGroup, now)
		a.discardedHistory.add(a.discarded, now)
		reported := a.reported.total
		if len(out.Reports) < MaxReports && lim.takeDue(a, &a.reported, a.admittedHere, now) {
			lim.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedHere, Increase: a.admittedHere - reported, Demand: a.demand, Level: a.level})
		}
	}
	return out
}

// FullUpdate returns the usage of all accounts, up to MaxReports, for a process that has
// just started.
func (lim *Limiter) FullUpdate(now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: lim.reachableProcesses(now)}
	for id, a := range lim.accounts {
		if len(out.Reports) == MaxReports {
			break
		}
		lim.refresh(a, now)
		out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedHere, Demand: a.demand, Level: a.level})
	}
	return out
}

// takeDue reports whether an account's total is due to be reported, and if so marks it as
// reported. The unreported usage of all processes together stays within half of the margin
// for unreported usage.
func (lim *Limiter) takeDue(a *account, r *reportState, total float64, now time.Time) bool {
	since := now.Sub(r.reportedAt)
	unreported := math.Abs(total - r.total)
	threshold := lim.unreportedMargin(a) / 2 / float64(max(1, lim.members))
	switch {
	case unreported > threshold, unreported > 0 && since >= repeatInterval, r.refusedSince && since >= refusalReportInterval:
		*r = reportState{total: total, reportedAt: now, activationBase: r.activationBase}
		return true
	case !r.reportedAt.IsZero() && !r.repeated && since >= repeatInterval:
		r.reportedAt, r.repeated = now, true
		return true
	}
	return false
}

// ApplyPeerUpdate applies an update from a peer.
func (lim *Limiter) ApplyPeerUpdate(u UsageUpdate, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	s := lim.peers[u.Sender]
	if s == nil {
		s = &sender{name: u.Sender, timeout: peerTimeout, startedLater: u.Uptime < now.Sub(lim.startedAt)}
		lim.peers[u.Sender] = s
		lim.senders = append(lim.senders, s)
	}
	s.processes = 1
	lim.applyUpdate(s, u, now)
}

// applyUpdate applies an update from a sender.
func (lim *Limiter) applyUpdate(s *sender, update UsageUpdate, now time.Time) {
	if !s.lastReceived.IsZero() && !s.reachable(now) {
		lim.detectSilence(now)
		s.isolated += now.Sub(s.lastReceived) - s.timeout
		s.silent = false
		lim.repeatReports()
	}
	s.recordArrival(update.Uptime, lim.startedAt, now)
	fraction := lim.limitFraction(now)
	for _, report := range update.Reports {
		a := lim.accounts[report.Customer]
		if a == nil {
			continue
		}
		a.refill(fraction, now)
		lim.adoptLevel(a, update, report, now)
		a.applyReport(s, report, lim.expectedProcesses(now), now)
	}
}

// detectSilence debits, for senders that have become unreachable, what they admitted before this
// was detected, assuming that their rate stayed the same. What they report later replaces it.
func (lim *Limiter) detectSilence(now time.Time) {
	for _, s := range lim.senders {
		if s.silent || s.lastReceived.IsZero() || s.reachable(now) {
			continue
		}
		s.silent = true
		for _, a := range lim.accounts {
			u := a.peerUsage[s]
			if u == nil {
				continue
			}
			u.discarded = a.discarded
			// Processes of a group that this one has left are reported by that group.
			if !s.group && s.lastReceived.Before(lim.groupChangedAt.Add(warmUp)) {
				continue
			}
			u.discarded = a.discardedHistory.before(s.lastReceived)
			u.assumed = a.takeDiscarded(u.recentRate(s.lastReceived)*s.timeout.Seconds(), u.discarded)
			a.debit(u.assumed)
		}
	}
}

// repeatReports has the totals of all accounts reported once more: a sender that was unreachable
// has probably received none either.
func (lim *Limiter) repeatReports() {
	for _, a := range lim.accounts {
		a.reported.repeated = false
		for _, r := range a.reportedToGroups {
			r.repeated = false
		}
	}
}

// applyReport applies a sender's report on the account.
func (a *account) applyReport(s *sender, report UsageReport, expected int, now time.Time) {
	u := a.peerUsage[s]
	if u == nil {
		// Earlier usage of a process that started before this one was reported to others.
		u = &peerUsage{discarded: a.discarded}
		if !s.startedLater {
			u.admitted, u.isolated = report.Total-report.Increase, s.isolated
		}
		a.peerUsage[s] = u
	}
	var added float64
	known := true
	if s.group {
		added, known = u.group.advance(s.name, report, now)
	} else {
		added = report.Total - u.admitted
		u.admitted = report.Total
	}
	u.recent = u.recent*decay(now.Sub(u.reportedAt)) + added
	if isolated := s.isolated - u.isolated; isolated > 0 {
		share := a.limit.Rate * isolated.Seconds() * min(1, float64(s.processes)/float64(max(1, expected)))
		elapsed := isolated + s.timeout
		if !u.reportedAt.IsZero() {
			elapsed = now.Sub(u.reportedAt)
		}
		// A new relay of a group reports only its latest usage, so that the assumption about the
		// rest stands.
		if known {
			added = sharedPart(added, share, isolated, elapsed) - u.assumed
		}
		added = a.takeDiscarded(added, u.discarded)
		u.isolated, u.assumed = s.isolated, 0
	}
	a.debit(added)
	if !s.group {
		a.admittedInGroup += added
	}
	u.demand, u.reportedAt = report.Demand, now
}

// adoptLevel takes over the level of a process that has been running for longer while this
// process is starting.
func (lim *Limiter) adoptLevel(a *account, update UsageUpdate, report UsageReport, now time.Time) {
	if a.levelKnown || update.Uptime < warmUp {
		return
	}
	a.levelKnown = true
	if lim.warmingUp(now) {
		a.level = min(a.limit.Burst, report.Level)
	}
}

// dropInactive removes peers that have been silent for senderRetention.
func (lim *Limiter) dropInactive(now time.Time) {
	for name, s := range lim.peers {
		if now.Sub(s.lastReceived) > senderRetention {
			delete(lim.peers, name)
			lim.dropSender(s)
		}
	}
}

// dropSender removes a sender and its reports.
func (lim *Limiter) dropSender(s *sender) {
	lim.senders = slices.DeleteFunc(lim.senders, func(other *sender) bool { return other == s })
	for _, a := range lim.accounts {
		delete(a.peerUsage, s)
	}
}
