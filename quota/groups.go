package quota

import "time"

// groupUsage is the usage of an account by another group, as its relays report it. Each relay
// counts since another time. The totals of all of them are mapped to one scale by offsets, and
// the usage counted so far is the maximum on that scale: relays that send alternately advance it
// by the same usage once.
type groupUsage struct {
	counted float64
	// advancedAt is when the count was last advanced.
	advancedAt time.Time
	relays     map[string]*relayTotal
}

// relayTotal is the last total of one relay of a group.
type relayTotal struct {
	total, offset float64
	// mark is the total at the time of the last report before the count was last advanced.
	mark            float64
	firstAt, lastAt time.Time
}

// Parameters of the usage of other groups.
const (
	// relaySettleTime is the time in which the offset of a relay that was first heard from
	// beside others is corrected: two reports of each.
	relaySettleTime = time.Second
	// relaySilence is the silence after which the relay that advanced the count is considered
	// gone.
	relaySilence = 600 * time.Millisecond
	// takeoverGap is the time without a report from the former relay at which a new relay's
	// whole increase is counted. Within it only a part is, as the former relay may have
	// reported the rest.
	takeoverGap = 600 * time.Millisecond
	// activationAge is how far back the first increase reaches that a relay reports: a relay is
	// considered silent after half a second, the next one checks this once an update interval
	// (0.2 s), and small usage is reported within 0.4 s.
	activationAge = 1200 * time.Millisecond
	// activationPeriod is the time in which a new relay's increases all reach back to its
	// activation, as its first reports may be lost.
	activationPeriod = 500 * time.Millisecond
)

// GroupUpdate returns the usage of this process's group, to be sent to another group, with at
// most limit reports.
func (lim *Limiter) GroupUpdate(group, limit int, now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	activated := lim.startGroupReport(group, now)
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: 1}
	for _, s := range lim.peers {
		if s.reachable(now) {
			out.Processes++
		}
	}
	for id, a := range lim.accounts {
		r := a.groupReport(group)
		base := r.total
		if activated {
			base = r.activationBase
		}
		if len(out.Reports) < limit && lim.takeDue(a, r, a.admittedInGroup, now) {
			lim.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedInGroup, Increase: a.admittedInGroup - base, Demand: a.groupDemand(now), Level: a.level})
		}
	}
	return out
}

// startGroupReport records that another group is sent a report. A process that has not reported
// for relaySilence has become the relay: its first reports include the usage since the former
// relay was last heard from. It reports whether the activation is recent.
func (lim *Limiter) startGroupReport(group int, now time.Time) bool {
	if now.Sub(lim.groupReportedAt[group]) > relaySilence {
		lim.activatedAt[group] = now
		for _, a := range lim.accounts {
			r := a.groupReport(group)
			r.activationBase = a.history.before(now.Add(-activationAge))
			r.total = r.activationBase
		}
	}
	lim.groupReportedAt[group] = now
	return now.Sub(lim.activatedAt[group]) <= activationPeriod
}

// SetGroup sets the group of this process, of how many. After a change the totals of other groups
// are of other processes, and so is that of this process's group: both are counted anew.
func (lim *Limiter) SetGroup(own, count int, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.ownGroup == own && lim.groupCount == count {
		return
	}
	lim.ownGroup, lim.groupCount, lim.groupChangedAt = own, count, now
	for group, s := range lim.groupSenders {
		delete(lim.groupSenders, group)
		lim.dropSender(s)
	}
	clear(lim.groupReportedAt)
	for _, a := range lim.accounts {
		a.admittedInGroup, a.history, a.reportedToGroups = 0, totalHistory{}, nil
	}
}

// totalHistory holds a total at a few earlier times, at least historyInterval apart.
type totalHistory struct {
	at    [6]time.Time
	total [6]float64
	next  int
}

// historyInterval makes the history reach back further than activationAge.
const historyInterval = 300 * time.Millisecond

// add records the total, unless the last record is recent.
func (h *totalHistory) add(total float64, now time.Time) {
	last := (h.next + len(h.at) - 1) % len(h.at)
	if now.Sub(h.at[last]) < historyInterval {
		return
	}
	h.at[h.next], h.total[h.next] = now, total
	h.next = (h.next + 1) % len(h.at)
}

// before returns the last recorded total at or before the given time; 0 if there is none, as the
// process has then been counting for a shorter time.
func (h *totalHistory) before(cutoff time.Time) float64 {
	for i := range h.at {
		at := (h.next + len(h.at) - 1 - i) % len(h.at)
		if !h.at[at].IsZero() && !h.at[at].After(cutoff) {
			return h.total[at]
		}
	}
	return 0
}

// ApplyGroupUpdate applies an update from a relay of another group.
func (lim *Limiter) ApplyGroupUpdate(group int, u UsageUpdate, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	s := lim.groupSenders[group]
	if s == nil {
		s = &sender{group: true, timeout: groupTimeout}
		lim.groupSenders[group] = s
		lim.senders = append(lim.senders, s)
	}
	s.name, s.processes = u.Sender, u.Processes
	lim.applyUpdate(s, u, now)
}

// advance returns the usage that a relay's report adds to the count of its group, and whether the
// relay was known.
func (g *groupUsage) advance(relay string, report UsageReport, now time.Time) (added float64, known bool) {
	if g.relays == nil {
		g.relays = map[string]*relayTotal{}
	}
	for name, r := range g.relays {
		if now.Sub(r.lastAt) > senderRetention {
			delete(g.relays, name)
		}
	}
	r := g.relays[relay]
	if r != nil && report.Total < r.total/2 {
		// The relay has moved to another group and back, and counts anew.
		r = nil
	}
	known = r != nil
	var position float64
	if known {
		position = g.knownPosition(r, report, now)
	} else {
		position = g.counted + g.sinceLast(report.Increase, now)
		r = &relayTotal{firstAt: now, mark: report.Total}
		g.relays[relay] = r
	}
	r.offset = report.Total - position
	r.total, r.lastAt = report.Total, now
	added = position - g.counted
	if added <= 0 && len(g.relays) > 1 {
		return 0, known
	}
	// A single relay's total may also decrease, by refunds.
	g.counted, g.advancedAt = position, now
	for _, other := range g.relays {
		other.mark = other.total
	}
	return added, known
}

// knownPosition returns the position of a known relay's report on the scale of the count. A relay
// that is behind the count has nothing to add, with three exceptions: its offset is still being
// determined, or the relay that was ahead is gone and either both sent until then or this one
// did not send for long. Relays' totals drift apart if they don't hear the same processes.
func (g *groupUsage) knownPosition(r *relayTotal, report UsageReport, now time.Time) float64 {
	position := report.Total - r.offset
	gone := now.Sub(g.advancedAt) > relaySilence && report.Total > r.mark
	switch {
	case position >= g.counted || len(g.relays) == 1:
		return position
	case now.Sub(r.firstAt) <= relaySettleTime:
		return g.counted
	case gone && now.Sub(r.lastAt) <= relaySettleTime:
		return g.counted + report.Total - r.mark
	case gone:
		return g.counted + g.sinceLast(report.Increase, now)
	}
	return position
}

// sinceLast returns the part of a relay's increase that counts when it takes over. Without an
// earlier report of another relay that is all of it, otherwise the part since then.
func (g *groupUsage) sinceLast(increase float64, now time.Time) float64 {
	var last time.Time
	for _, r := range g.relays {
		if r.lastAt.After(last) {
			last = r.lastAt
		}
	}
	return max(0, increase*min(1, now.Sub(last).Seconds()/takeoverGap.Seconds()))
}

// groupReport returns the state of the reports to another group.
func (a *account) groupReport(group int) *reportState {
	if a.reportedToGroups == nil {
		a.reportedToGroups = map[int]*reportState{}
	}
	r := a.reportedToGroups[group]
	if r == nil {
		r = &reportState{}
		a.reportedToGroups[group] = r
	}
	return r
}
