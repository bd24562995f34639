package fleet

import "time"

// responseTime is the usual time until something happens, learnt like the retransmission time-out
// of TCP: mean and mean deviation, smoothed over about ten samples.
type responseTime struct {
	mean, deviation time.Duration
	samples         int
}

func (p *responseTime) observe(d time.Duration) {
	if p.samples == 0 {
		p.mean, p.deviation = d, d/2
	} else {
		p.deviation += ((d - p.mean).Abs() - p.deviation) / 4
		p.mean += (d - p.mean) / 8
	}
	p.samples++
}

// limit returns the time after which something is overdue.
func (p *responseTime) limit() time.Duration {
	if p.samples < 8 {
		return defaultOverdue
	}
	return min(max(p.mean+4*p.deviation, minOverdue), maxOverdue)
}

// responseTimes are the usual times of a service's responses: of their first bytes and of the pauses
// between events.
type responseTimes struct{ first, gap responseTime }

// responseTimes returns the usual times of a service; the caller holds mu.
func (f *Fleet) responseTimes(service string) *responseTimes {
	p := f.responseTimesByService[service]
	if p == nil {
		p = &responseTimes{}
		f.responseTimesByService[service] = p
	}
	return p
}

// progress is what is known of the bytes of one request's response.
type progress struct {
	// lastByte is when the last bytes arrived; zero before the first.
	lastByte time.Time
	started  bool
	// giveUp ends the attempt; nil if it can't be ended or already was.
	giveUp func()
}

// OnUnresponsive sets the function that ends the attempt when its target is found to be
// unresponsive. It must not block.
func (t *ActiveRequest) OnUnresponsive(giveUp func()) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.progress.giveUp = giveUp
}

// Responded records the header of the response.
func (t *ActiveRequest) Responded(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil {
		return
	}
	if t.load.PromptTokens == 0 {
		t.fleet.responseTimes(t.state.target.Service).first.observe(now.Sub(t.began))
		t.progress.started = true
	}
	t.progress.lastByte = now
	t.state.response.RecordResponse(now)
}

// EventReceived records the arrival of an event of the response. It precedes FirstEvent.
func (t *ActiveRequest) EventReceived(now time.Time) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.state == nil {
		return
	}
	p := t.fleet.responseTimes(t.state.target.Service)
	if t.firstAt.IsZero() {
		p.first.observe(now.Sub(t.began))
	} else {
		p.gap.observe(now.Sub(t.progress.lastByte))
	}
	t.progress.lastByte, t.progress.started = now, true
	t.state.response.RecordResponse(now)
}

// overdue reports whether a request should have produced bytes by now. Any bytes from its
// target count: one that works on other requests responds.
func (t *ActiveRequest) overdue(now time.Time) bool {
	p := t.fleet.responseTimes(t.state.target.Service)
	limit := p.gap.limit()
	if !t.progress.started {
		limit = min(max(p.first.limit(), 2*t.load.ExpectedFirst), maxOverdue)
	}
	since := t.began
	for _, at := range []time.Time{t.progress.lastByte, t.state.response.LastResponse()} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > limit
}

// RecordResponse records that a target responded to this process other than to a request.
func (f *Fleet) RecordResponse(l Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.lookup(l); s != nil {
		s.response.RecordResponse(now)
	}
}
