package quota

import "time"

// GroupUpdate returns what this process's group has to tell another one.
func (b *Limiter) GroupUpdate(group int, now time.Time) UsageUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startGroupReport(group, now)
	out := UsageUpdate{Uptime: now.Sub(b.startedAt), Processes: 1}
	for _, s := range b.peers {
		if s.reachable(now) {
			out.Processes++
		}
	}
	for id, a := range b.accounts {
		t := a.groupReport(group)
		reported := t.total
		if len(out.Reports) < maxReports && b.takeDue(a, t, a.admittedInGroup, now) {
			b.refresh(a, now)
			out.Reports = append(out.Reports, UsageReport{Customer: id, Total: a.admittedInGroup, Increase: a.admittedInGroup - reported, Demand: a.groupDemand(now), Level: a.level})
		}
	}
	return out
}

// startGroupReport notes that another group is told. One that is told anew gets what is let in
// from now on: what was before, its members know from others, or when they were in a group
// with this one.
func (b *Limiter) startGroupReport(group int, now time.Time) {
	if now.Sub(b.groupReportedAt[group]) > groupTimeout {
		for _, a := range b.accounts {
			a.groupReport(group).total = a.admittedInGroup
		}
	}
	b.groupReportedAt[group] = now
}

// ApplyGroupUpdate takes what a member of another group tells of it. Another member has
// counted from another moment on: what it tells first only sets where it begins.
func (b *Limiter) ApplyGroupUpdate(group int, u UsageUpdate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.groupSenders[group]
	if s == nil || s.name != u.Sender {
		b.dropSender(s)
		s = &sender{name: u.Sender, group: true, timeout: groupTimeout}
		b.groupSenders[group] = s
		b.senders = append(b.senders, s)
	}
	s.processes = u.Processes
	b.applyUpdate(s, u, now)
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
