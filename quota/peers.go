package quota

import (
	"math"
	"slices"
	"time"
)

// sender is another process that tells of what it let in, or one that tells of
// another group of them.
type sender struct {
	name         string
	lastReceived time.Time
	// minDelay is the least that its news took, by the difference of the clocks; late is how
	// much longer the last took.
	minDelay   time.Duration
	extraDelay time.Duration
	// startedLater is set where it started after this process: all that it tells of was let in
	// since this process counts.
	startedLater bool
	// group is set where it speaks for another group, count is for how many processes.
	group     bool
	processes int
	// timeout is for how long it counts as heard.
	timeout time.Duration
}

// Figures of hearing.
const (
	// peerTimeout is for how long a process counts as heard: four pulses of a full
	// group. After it, its part of the limit is left to it.
	peerTimeout = 600 * time.Millisecond
	// groupTimeout is the same of another group, whose news takes two pulses and a
	// digest, at times at half the pace.
	groupTimeout = 1500 * time.Millisecond
	// senderRetention is for how long what one told is remembered after it fell silent.
	senderRetention = time.Minute
)

// reachable reports whether it is heard.
func (s *sender) reachable(now time.Time) bool {
	return now.Sub(s.lastReceived) <= s.timeout
}

// age returns how old what it told last is at least.
func (s *sender) age(now time.Time) time.Duration {
	return now.Sub(s.lastReceived) + s.extraDelay
}

// recordArrival notes news that its sender sent when it had been running for up.
func (s *sender) recordArrival(uptime time.Duration, started, now time.Time) {
	delay := now.Sub(started) - uptime
	if s.lastReceived.IsZero() || delay < s.minDelay {
		s.minDelay = delay
	}
	s.lastReceived, s.extraDelay = now, delay-s.minDelay
}

// reachableProcesses returns how many processes share what this one knows, itself included;
// the caller holds mu.
func (lim *Limiter) reachableProcesses(now time.Time) int {
	n := 1
	for _, s := range lim.senders {
		if s.reachable(now) {
			n += s.processes
		}
	}
	return n
}

// limitFraction returns which limitFraction of all limits is left to the processes that hear each other.
// Those that are not heard, but may be there, keep theirs. One whom the others do not
// count in any more has none by itself.
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

// UsageReport is what a process, or a group of them, tells of one customer.
type UsageReport struct {
	// Customer is the hash of its name.
	Customer uint64
	// Total was let in since the sender's start, Demand asked lately.
	Total  float64
	Demand float64
	// Increase is the part of Total that was not told before.
	Increase float64
	// Level is what the sender knows to be left.
	Level float64
}

// UsageUpdate is what a process, or a group of them, tells of all customers.
type UsageUpdate struct {
	Sender string
	// Uptime is for how long the sender has been running.
	Uptime  time.Duration
	Reports []UsageReport
	// Processes is how many processes the sender speaks for.
	Processes int
}

// reportState is what was told of an account.
type reportState struct {
	total      float64
	reportedAt time.Time
	// repeated is set once the last change was told twice.
	repeated bool
	// refusedSince is set where requests were refusedSince since.
	refusedSince bool
}

// Figures of telling.
const (
	// refusalReportInterval is how often refusals alone are told: they change the demand.
	refusalReportInterval = 100 * time.Millisecond
	// repeatInterval is when what is too little to be told at once is told, and when a word is
	// repeated that may be lost.
	repeatInterval = 400 * time.Millisecond
	// maxReports bounds what one telling holds; what finds no room goes with the next.
	maxReports = 256
)

// PeerUpdate returns what this process has to tell its peers now.
func (lim *Limiter) PeerUpdate(now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.dropInactive(now)
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: lim.reachableProcesses(now)}
	for id, a := range lim.accounts {
		reported := a.reported.total
		if len(out.Reports) < maxReports && lim.takeDue(a, &a.reported, a.admittedHere, now) {
			lim.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedHere, Increase: a.admittedHere - reported, Demand: a.demand, Level: a.level})
		}
	}
	return out
}

// FullUpdate returns the same of all customers that were active lately, for a process that is
// new.
func (lim *Limiter) FullUpdate(now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: lim.reachableProcesses(now)}
	for id, a := range lim.accounts {
		if len(out.Reports) == maxReports {
			break
		}
		lim.refresh(a, now)
		out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedHere, Demand: a.demand, Level: a.level})
	}
	return out
}

// takeDue reports whether an account's total is to be told now, and notes it as told. What
// all processes together leave untold stays within half of the margin that covers what
// is not heard.
func (lim *Limiter) takeDue(a *account, r *reportState, total float64, now time.Time) bool {
	since := now.Sub(r.reportedAt)
	unreported := math.Abs(total - r.total)
	threshold := lim.unreportedMargin(a) / 2 / float64(max(1, lim.members))
	switch {
	case unreported > threshold, unreported > 0 && since >= repeatInterval, r.refusedSince && since >= refusalReportInterval:
		*r = reportState{total: total, reportedAt: now}
		return true
	case !r.reportedAt.IsZero() && !r.repeated && since >= repeatInterval:
		r.reportedAt, r.repeated = now, true
		return true
	}
	return false
}

// ApplyPeerUpdate takes what a peer tells.
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

// applyUpdate takes what a sender tells of customers. What one tells that was not heard for a
// while was let in by its own part of the limit, which was left to it.
func (lim *Limiter) applyUpdate(s *sender, update UsageUpdate, now time.Time) {
	if !s.lastReceived.IsZero() && !s.reachable(now) {
		lim.markPartitioned(s)
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
		a.applyReport(s, report, now)
	}
}

// markPartitioned notes that a sender was silent.
func (lim *Limiter) markPartitioned(s *sender) {
	s.startedLater = false
	for _, a := range lim.accounts {
		if u := a.peerUsage[s]; u != nil {
			u.partitioned = true
		}
	}
}

// applyReport takes what a sender tells of one customer.
func (a *account) applyReport(s *sender, report UsageReport, now time.Time) {
	u := a.peerUsage[s]
	if u == nil {
		// Of one that was there before, what it told earlier was heard by others.
		u = &peerUsage{}
		if !s.startedLater {
			u.admitted = report.Total - report.Increase
		}
		a.peerUsage[s] = u
	}
	if !u.partitioned {
		added := report.Total - u.admitted
		a.debit(added)
		if !s.group {
			a.admittedInGroup += added
		}
	}
	*u = peerUsage{admitted: report.Total, demand: report.Demand, reportedAt: now}
}

// adoptLevel takes the level of a process that has been there for long where this one has
// just started.
func (lim *Limiter) adoptLevel(a *account, update UsageUpdate, report UsageReport, now time.Time) {
	if a.levelKnown || update.Uptime < warmUp {
		return
	}
	a.levelKnown = true
	if lim.warmingUp(now) {
		a.level = min(a.limit.Burst, report.Level)
	}
}

// dropInactive forgets those that fell silent long ago.
func (lim *Limiter) dropInactive(now time.Time) {
	for name, s := range lim.peers {
		if now.Sub(s.lastReceived) > senderRetention {
			delete(lim.peers, name)
			lim.dropSender(s)
		}
	}
}

// dropSender forgets what a sender told.
func (lim *Limiter) dropSender(s *sender) {
	lim.senders = slices.DeleteFunc(lim.senders, func(other *sender) bool { return other == s })
	for _, a := range lim.accounts {
		delete(a.peerUsage, s)
	}
}
