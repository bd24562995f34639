package quota

import "time"

// GroupUpdate returns the usage of this process's group, to be sent to another group, with at
// most limit reports.
func (lim *Limiter) GroupUpdate(group, limit int, now time.Time) UsageUpdate {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.startGroupReport(group, now)
	out := UsageUpdate{Uptime: now.Sub(lim.startedAt), Processes: 1}
	for _, s := range lim.peers {
		if s.reachable(now) {
			out.Processes++
		}
	}
	for id, a := range lim.accounts {
		r := a.groupReport(group)
		reported := r.total
		if len(out.Reports) < limit && lim.takeDue(a, r, a.admittedInGroup, now) {
			lim.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedInGroup, Increase: a.admittedInGroup - reported, Demand: a.groupDemand(now), Level: a.level})
		}
	}
	return out
}

// startGroupReport records that another group is sent a report. A group without a report
// for groupTimeout is sent only usage from now on: its members know the earlier usage from
// other processes, or from having been in this group.
func (lim *Limiter) startGroupReport(group int, now time.Time) {
	if now.Sub(lim.groupReportedAt[group]) > groupTimeout {
		for _, a := range lim.accounts {
			a.groupReport(group).total = a.admittedInGroup
		}
	}
	lim.groupReportedAt[group] = now
}

// ApplyGroupUpdate applies an update from another group. Different members of the group
// have counted since different times, so the first totals of a new sender only set its
// baseline.
func (lim *Limiter) ApplyGroupUpdate(group int, u UsageUpdate, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	s := lim.groupSenders[group]
	if s == nil || s.name != u.Sender {
		lim.dropSender(s)
		s = &sender{name: u.Sender, group: true, timeout: groupTimeout}
		lim.groupSenders[group] = s
		lim.senders = append(lim.senders, s)
	}
	s.processes = u.Processes
	lim.applyUpdate(s, u, now)
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
