package sharing

import (
	"strconv"
	"strings"
	"time"
)

// Row is the demand of one customer in one class of a service, in microseconds of target
// time per second. Customer 0 stands for all customers that are not listed.
type Row struct {
	Service         string
	Class           int
	Customer        uint64
	Asked, Admitted int64
}

// Report is the demand that clients bring to one entry, or to a group of entries.
type Report struct {
	// Uptime is the time since the sender's start, Entries the number of entries that it
	// reports for.
	Uptime  time.Duration
	Entries int
	Rows    []Row
}

// Bounds of reports.
const (
	// maxCustomers is how many customers a report lists.
	maxCustomers = 16
	// maxRows bounds the rows of a received report: the customers listed and the rest of
	// each class of a dozen services.
	maxRows = 64
	// maxReported bounds a rate, in microseconds per second: more than all targets have.
	maxReported = int64(1e12)
	// reportTTL is how long a report counts. It outlasts several lost datagrams.
	reportTTL = 1500 * time.Millisecond
	// maxLead is by how much longer than the time since its last report a sender may have
	// been running; more is a damaged report or a paused receiver.
	maxLead = time.Second
	// clockTolerance is by how much the clocks of two entries may differ in speed. Clocks
	// are adjusted by up to 0.05%.
	clockTolerance = 0.001
)

// sender is another entry or group that reports its demand.
type sender struct {
	node       string
	group      bool
	entries    int
	uptime     time.Duration
	receivedAt time.Time
	// minDelay is the least delay of its reports, including the difference of the start
	// times, and grows with clockTolerance; extraDelay is by how much the last one exceeded it.
	minDelay, extraDelay time.Duration
	rows                 []senderRow
}

type senderRow struct {
	total *total
	amounts
}

func (s *sender) age(now time.Time) time.Duration { return now.Sub(s.receivedAt) + s.extraDelay }

// Report returns this entry's own demand.
func (s *Sharer) Report(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{Uptime: now.Sub(s.started), Entries: 1, Rows: s.rows(now, false)}
}

// GroupReport returns the demand of this entry and of those of its group that report to it.
func (s *Sharer) GroupReport(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := Report{Uptime: now.Sub(s.started), Entries: 1, Rows: s.rows(now, true)}
	for _, other := range s.senders {
		if !other.group {
			out.Entries += other.entries
		}
	}
	return out
}

func (s *Sharer) rows(now time.Time, group bool) []Row {
	var listed, rest []Row
	for _, svc := range s.services {
		var unlisted [Classes]Row
		for k, t := range svc.totals {
			row := Row{Service: svc.name, Class: int(k.class), Customer: k.customer, Asked: int64(t.asked.perSecond(now) * 1e6), Admitted: int64(t.admitted.perSecond(now) * 1e6)}
			if group {
				row.Asked, row.Admitted = row.Asked+t.peers.asked, row.Admitted+t.peers.admitted
			}
			switch {
			case row.Asked <= 0:
			case k.customer == 0:
				unlisted[k.class].Asked += row.Asked
				unlisted[k.class].Admitted += row.Admitted
			default:
				listed = append(listed, row)
			}
		}
		for class, row := range unlisted {
			row.Service, row.Class = svc.name, class
			rest = append(rest, row)
		}
	}
	top := largest(listed, maxCustomers)
	for _, row := range listed[len(top):] {
		for i := range rest {
			if r := &rest[i]; r.Service == row.Service && r.Class == row.Class {
				r.Asked += row.Asked
				r.Admitted += row.Admitted
			}
		}
	}
	for _, row := range largest(rest, maxRows-maxCustomers) {
		if row.Asked > 0 {
			top = append(top, row)
		}
	}
	return top
}

// Apply replaces the former report of another entry. It reports whether the report counts:
// duplicates, late ones and those from the future change nothing.
func (s *Sharer) Apply(name string, r Report, now time.Time) bool {
	return s.apply(name, false, r, now)
}

// ApplyGroup replaces the former report of another group, whichever of its entries sent it.
// relay is the sender's name.
func (s *Sharer) ApplyGroup(group int, relay string, r Report, now time.Time) bool {
	// Each relay has its own uptime, which orders its reports.
	s.mu.Lock()
	if s.relays == nil {
		s.relays = map[string]relayUptime{}
	}
	known, ok := s.relays[relay]
	if ok && now.Sub(known.at) <= reportTTL && (r.Uptime <= known.uptime || r.Uptime-known.uptime > now.Sub(known.at)+maxLead) {
		s.mu.Unlock()
		return false
	}
	s.relays[relay] = relayUptime{uptime: r.Uptime, at: now}
	for other, u := range s.relays {
		if now.Sub(u.at) > reportTTL {
			delete(s.relays, other)
		}
	}
	s.mu.Unlock()
	return s.apply("group "+strconv.Itoa(group), true, r, now)
}

// relayUptime is the uptime of a relay in its last report.
type relayUptime struct {
	uptime time.Duration
	at     time.Time
}

func (s *Sharer) apply(name string, group bool, r Report, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Uptime < 0 || len(r.Rows) > maxRows || r.Entries < 1 || name == s.name {
		return false
	}
	if at, ok := s.retired[name]; ok && now.Sub(at) <= reportTTL {
		return false
	}
	from := s.senders[name]
	if from != nil && now.Sub(from.receivedAt) > reportTTL {
		// After so long a silence any uptime is accepted.
		s.discard(from)
		from = nil
	}
	if from == nil {
		from = &sender{node: nodeOf(name), group: group}
		if !group {
			delete(s.senders, name)
			s.replaceRestarted(from.node, now)
		}
		s.senders[name] = from
	} else if !group && (r.Uptime <= from.uptime || r.Uptime-from.uptime > now.Sub(from.receivedAt)+maxLead) {
		return false
	}
	delay := now.Sub(s.started) - r.Uptime
	if from.receivedAt.IsZero() || group {
		from.minDelay = delay
	} else {
		drift := time.Duration(clockTolerance * float64(now.Sub(from.receivedAt)))
		from.minDelay = min(delay, from.minDelay+drift)
	}
	from.entries, from.uptime, from.receivedAt, from.extraDelay = r.Entries, r.Uptime, now, delay-from.minDelay
	s.discard(from)
	for _, row := range r.Rows {
		if row.Class < 0 || row.Class >= Classes || row.Asked < 0 || row.Admitted < 0 || row.Asked > maxReported || row.Admitted > maxReported {
			continue
		}
		svc := s.service(row.Service)
		if svc == nil {
			continue
		}
		t := svc.total(key{class: uint8(row.Class), customer: row.Customer}, s.seed)
		a := amounts{asked: row.Asked, admitted: row.Admitted}
		from.rows = append(from.rows, senderRow{total: t, amounts: a})
		t.of(group).add(a, 1)
		t.lastAsked = now
	}
	s.heard = true
	return true
}

func (t *total) of(group bool) *amounts {
	if group {
		return &t.groups
	}
	return &t.peers
}

// replaceRestarted drops the report of an earlier start of a node: a node runs once.
func (s *Sharer) replaceRestarted(node string, now time.Time) {
	for name, other := range s.senders {
		if node != "" && other.node == node {
			s.discard(other)
			delete(s.senders, name)
			s.retired[name] = now
		}
	}
}

// nodeOf returns the name that all starts of a node share; "" if there is none.
func nodeOf(sender string) string {
	return sender[:max(0, strings.LastIndexByte(sender, '/'))]
}

// discard takes back what a sender reported.
func (s *Sharer) discard(from *sender) {
	for _, row := range from.rows {
		row.total.of(from.group).add(row.amounts, -1)
	}
	from.rows = from.rows[:0]
}

// expire drops reports that are too old.
func (s *Sharer) expire(now time.Time) {
	for name, at := range s.retired {
		if now.Sub(at) > reportTTL {
			delete(s.retired, name)
		}
	}
	for name, from := range s.senders {
		if now.Sub(from.receivedAt) > reportTTL {
			s.discard(from)
			delete(s.senders, name)
		}
	}
}
