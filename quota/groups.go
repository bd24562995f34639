package quota

import "time"

// GroupUpdate returns what this process's group has to tell another one.
func (lim *Limiter) GroupUpdate(group int, now time.Time) UsageUpdate {
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
		t := a.groupReport(group)
		reported := t.total
		if len(out.Reports) < maxReports && lim.takeDue(a, t, a.admittedInGroup, now) {
			lim.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedInGroup, Increase: a.admittedInGroup - reported, Demand: a.groupDemand(now), Level: a.level})
		}
	}
	return out
}

// startGroupReport notes that another group is told. One that is told anew gets what is let in
// from now on: what was before, its members know from others, or when they were in a group
// with this one.
func (lim *Limiter) startGroupReport(group int, now time.Time) {
	if now.Sub(lim.groupReportedAt[group]) > groupTimeout {
		for _, a := range lim.accounts {
			a.groupReport(group).total = a.admittedInGroup
		}
	}
	lim.groupReportedAt[group] = now
}

// ApplyGroupUpdate takes what a member of another group tells of it. Another member has
// counted from another moment on: what it tells first only sets where it begins.
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

// groupReport returns what was told to another group.
func (a *account) groupReport(group int) *reportState {
	if a.reportedToGroups == nil {
		a.reportedToGroups = map[int]*reportState{}
	}
	t := a.reportedToGroups[group]
	if t == nil {
		t = &reportState{}
		a.reportedToGroups[group] = t
	}
	return t
}
