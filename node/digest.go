package node

import (
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/forecast"
	"acaciakeel/peering"
	"acaciakeel/pulses"
	"acaciakeel/quota"
	"acaciakeel/sharing"
)

// groupRelay relays state between this node's group and the other groups. Each group sends
// each other one a digest of its members' state: one member sends it to one member there,
// which forwards it to its own group. A node thus receives the datagrams of its own group and
// one digest per other group instead of datagrams from a hundred nodes. With 103 nodes and 160
// runners the busiest runner gets 1.3 times the mean number of arrivals; it got 6.7 times the
// mean, with packed runs, when each node sent to twelve others once a second.
type groupRelay struct {
	mu sync.Mutex
	// lastSeen is when each member of the group was last heard from, by name.
	lastSeen map[string]time.Time
	// pending is the group's state not yet sent to each other group that this node may relay
	// to.
	pending map[int]*pulses.Update
	// sentTargets are the targets whose load was in the last digest, by group; sentAt is when
	// it was sent.
	sentTargets map[int]map[fleet.Instance]bool
	sentAt      map[int]time.Time
	// overdraft is by how many bytes the last digest to a group exceeded its budget.
	overdraft map[int]int
	// sendDebt holds the bytes sent to each group beyond what its rate allows, and
	// forwardDebt those forwarded to this node's group; used where links are slow.
	sendDebt    map[int]*byteDebt
	forwardDebt byteDebt
	// limitsSentAt and enginesSentAt are when these were last sent to a group with slow links.
	limitsSentAt, enginesSentAt map[int]time.Time
	// remoteSeen is when each relay of another group was last heard from, by name.
	remoteSeen map[string]time.Time
	// firstPlanAt is when this node first had a plan.
	firstPlanAt time.Time
	// outcomes counts digests by outcome; nil disables counting.
	outcomes *prometheus.CounterVec
}

// Outcomes of a digest, the values of the counter's label.
const (
	digestSent      = "told"
	digestForwarded = "passed_on"
	// digestDropped: the sender's division into groups differed from this node's.
	digestDropped = "left_out"
	// digestOverLink: cache changes were not forwarded because the link's share was used up.
	digestOverLink = "over_link"
)

func (r *groupRelay) count(what string) {
	if r.outcomes != nil {
		r.outcomes.WithLabelValues(what).Inc()
	}
}

// Timing and size of digests.
const (
	// digestInterval is the minimum pause between two digests to the same group: with the
	// update interval before it, load in another group is known after 0.15 s on average, less
	// than the prefill of a long prompt takes.
	digestInterval = 150 * time.Millisecond
	// digestRate bounds the bytes a second that a node receives from all other groups
	// together: a tenth of a 20 Mbit/s link. As digests grow with targets and groups they are
	// sent less often, and cache changes that do not fit are dropped. Without the bound they
	// fill every node's link after hundreds of nodes have restarted.
	digestRate = 256 << 10
	// relayTimeout is how long a member counts as alive after it was last heard from: two and
	// a half update intervals of a full group. After that the next member in order relays.
	relayTimeout = 500 * time.Millisecond
	// digestLinkShare is the share of a relay's link that sending digests, or forwarding them,
	// may take where links are slow. Relays on 10 Mbit/s links that forwarded 256 KB/s to 17
	// peers received and sent nothing for 4 s.
	digestLinkShare = 0.25
	// datagramOverhead is the size of the IP and UDP headers of a datagram.
	datagramOverhead = 28
	// forwardBurst is the time at the forwarding rate that cache changes may be ahead of it: a
	// digest arrives as a burst of datagrams.
	forwardBurst = 2 * digestInterval
)

// dueLink is another group to which this node has to send a digest now.
type dueLink struct {
	group     int
	addresses []string
	// budget is the size in bytes up to which a digest may be sent at every digestInterval.
	budget int
	// slow is set where the budget is bounded by the links. Limits are then sent at every
	// interval, and the rest only if the rate has room: without it limitsOnly is set.
	slow, limitsOnly bool
	// reserved is the size of the limits and engine reports of the digest.
	reserved int
}

// maxLimitReports returns how many reports a digest may hold for each of the two limiters:
// together half of the budget at most, so that loads are not displaced.
func (l dueLink) maxLimitReports() int {
	if !l.slow {
		return quota.MaxReports
	}
	return max(minLimitReports, min(quota.MaxReports, l.budget/4/pulses.LimitEntryBytes))
}

// minLimitReports is how many customers a digest names on the slowest of links.
const minLimitReports = 4

// header identifies the group that a digest describes.
func (l dueLink) header(plan peering.Plan) *keelv1.GroupNews {
	return &keelv1.GroupNews{Group: uint32(plan.Group), Groups: uint32(plan.GroupCount)}
}

// memberSeen records that a member of the group was heard from.
func (r *groupRelay) memberSeen(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSeen == nil {
		r.lastSeen = map[string]time.Time{}
	}
	r.lastSeen[name] = now
	for other, at := range r.lastSeen {
		if now.Sub(at) > relayTimeout {
			delete(r.lastSeen, other)
		}
	}
}

// isActiveRelay reports whether the node with key self has to relay on a link now: it does if
// none of the relays before it was heard from recently. A node that has just started does not
// know yet whether they are silent.
func (r *groupRelay) isActiveRelay(l peering.Link, self string, now time.Time) bool {
	for i, key := range l.Relays {
		if key == self {
			return i == 0 || now.Sub(r.firstPlanAt) > relayTimeout
		}
		if at, ok := r.lastSeen[memberName(key)]; ok && now.Sub(at) <= relayTimeout {
			return false
		}
	}
	return false
}

// remoteRelaySeen records that a digest of a relay of another group arrived.
func (r *groupRelay) remoteRelaySeen(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.remoteSeen == nil {
		r.remoteSeen = map[string]time.Time{}
	}
	r.remoteSeen[name] = now
	for other, at := range r.remoteSeen {
		if now.Sub(at) > relayTimeout {
			delete(r.remoteSeen, other)
		}
	}
}

// receivers returns the addresses that a digest is sent to: the first relays of the other
// group, or all of them if the first ones are silent. The same relays send that group's
// digests, so they are silent if none of them sent one. The caller holds mu.
func (r *groupRelay) receivers(l peering.Link, now time.Time) []string {
	first := min(peering.AddressedRelays, len(l.RemoteAddresses))
	for _, key := range l.RemoteRelays[:min(first, len(l.RemoteRelays))] {
		if at, ok := r.remoteSeen[memberName(key)]; ok && now.Sub(at) <= relayTimeout {
			return l.RemoteAddresses[:first]
		}
	}
	return l.RemoteAddresses
}

// memberName returns the name of the member with a key.
func memberName(key string) string {
	return strings.TrimPrefix(key, newSystemKeys().members)
}

// addPending adds the state of a member of this group to what is pending for the other groups.
func (r *groupRelay) addPending(update pulses.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.pending {
		w.AppendRelayed(update)
	}
}

// addOwn adds this node's own state, and keeps pending state only for the groups that this
// node may relay to.
func (r *groupRelay) addOwn(plan peering.Plan, own pulses.Update) {
	own.Loads, own.Engines = nil, nil
	r.mu.Lock()
	next := map[int]*pulses.Update{}
	for _, l := range plan.Links {
		if plan.MayRelay(l) {
			if next[l.Group] = r.pending[l.Group]; next[l.Group] == nil {
				next[l.Group] = &pulses.Update{}
			}
		}
	}
	r.pending = next
	r.mu.Unlock()
	r.addPending(own)
}

// dueLinks returns the groups to which this node has to send a digest now.
func (r *groupRelay) dueLinks(plan peering.Plan, now time.Time) []dueLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentAt == nil {
		r.sentAt, r.sentTargets, r.overdraft = map[int]time.Time{}, map[int]map[fleet.Instance]bool{}, map[int]int{}
		r.limitsSentAt, r.enginesSentAt, r.sendDebt = map[int]time.Time{}, map[int]time.Time{}, map[int]*byteDebt{}
	}
	if r.firstPlanAt.IsZero() {
		r.firstPlanAt = now
	}
	var out []dueLink
	for _, l := range plan.Links {
		if r.pending[l.Group] == nil {
			continue
		}
		if !r.isActiveRelay(l, plan.Self, now) {
			*r.pending[l.Group] = pulses.Update{}
			continue
		}
		addresses := r.receivers(l, now)
		rate := linkRate(plan, l, len(addresses))
		due := dueLink{group: l.Group, addresses: addresses, budget: int(rate * digestInterval.Seconds()), slow: plan.SlowLinks}
		if due.slow {
			if r.takeSlowLink(&due, rate, now) {
				out = append(out, due)
			}
			continue
		}
		pause := digestInterval + time.Duration(float64(r.overdraft[l.Group])/rate*float64(time.Second))
		if since := now.Sub(r.sentAt[l.Group]); since >= pause {
			r.sentAt[l.Group] = now
			out = append(out, due)
		}
	}
	return out
}

// takeEngineReports reports whether engine reports are due on a link.
func (r *groupRelay) takeEngineReports(l dueLink, now time.Time) bool {
	if !l.slow {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.limitsOnly || now.Sub(r.enginesSentAt[l.group]) < engineInterval {
		return false
	}
	r.enginesSentAt[l.group] = now
	return true
}

// takePending returns and clears what is pending for a group: all loads, and as much of the
// rest as fits.
func (r *groupRelay) takePending(l dueLink, loads []fleet.Occupancy) pulses.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	update := *r.pending[l.group]
	*r.pending[l.group] = pulses.Update{}
	update.Loads = loads
	current := map[fleet.Instance]bool{}
	for _, o := range loads {
		current[o.Target] = true
	}
	// Targets that became idle are reported once, or their last load would count until it
	// expires.
	for instance := range r.sentTargets[l.group] {
		if !current[instance] {
			update.Loads = append(update.Loads, fleet.Occupancy{Target: instance})
		}
	}
	r.sentTargets[l.group] = current
	used := len(update.Loads)*pulses.GroupLoadBytes(update.Loads) + l.reserved
	least := l.budget / 2
	if l.slow {
		// Loads and limits come first; crash reports and findings still get a part.
		least = l.budget / 8
	}
	used += update.TruncateTo(max(l.budget-used, least))
	r.overdraft[l.group] = max(0, used-l.budget)
	return update
}

// groupUpdate returns the digest of this node's group for another group.
func (p *peerExchange) groupUpdate(l dueLink) pulses.Update {
	now := time.Now()
	var engines []forecast.Report
	if p.relay.takeEngineReports(l, now) {
		engines = p.fleet.GroupEngineReports(now)
	}
	limits, targetLimits := p.view.customerLimiter.GroupUpdate(l.group, l.maxLimitReports(), now), p.view.targetLimiter.GroupUpdate(l.group, l.maxLimitReports(), now)
	var demand sharing.Report
	if !l.limitsOnly {
		demand = p.groupDemand(l.group, now)
	}
	if l.slow {
		l.reserved = pulses.EnginesSize(engines) + (len(limits.Reports)+len(targetLimits.Reports))*pulses.LimitEntryBytes + pulses.DemandSize(demand)
	}
	var update pulses.Update
	if !l.limitsOnly {
		update = p.relay.takePending(l, p.fleet.GroupOccupancy(now))
		fleet.AgeUpdates(update.Findings, now)
	}
	update.Engines, update.Limits, update.TargetLimits, update.Demand = engines, limits, targetLimits, demand
	p.relay.count(digestSent)
	return update
}

// receiveGroup applies the digest of another group, and forwards it to this node's group if
// this node is the active relay. Digests that assume another division into groups are dropped,
// as the same members would be counted twice.
func (p *peerExchange) receiveGroup(message *keelv1.Pulse) {
	plan := p.view.plan()
	g := message.Group
	if int(g.Groups) != plan.GroupCount || int(g.Group) == plan.Group {
		p.relay.count(digestDropped)
		return
	}
	now := time.Now()
	p.relay.remoteRelaySeen(message.Sender, now)
	p.receiveLimits(message, now)
	p.receiveDemand(message, now)
	p.fleet.MergeGroupOccupancy(int(g.Group), pulses.DecodeGroupLoads(g), now)
	p.receiveTargetUpdates(message, now)
	p.receiveSuspects(message, now)
	p.fleet.MergeGroupCacheUpdates(int(g.Group), pulses.DecodeCaches(message.Caches), now)
	p.receiveSaves(message, now)
	p.fleet.MergeGroupEngineReports(int(g.Group), pulses.DecodeEngines(message.Engines), now)
	if g.PassedOn || !p.relay.shouldForward(plan, int(g.Group), now) {
		return
	}
	g.PassedOn = true
	forwarded, err := pulses.Encode(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("could not encode the digest of another group; this group chooses targets without it")
		return
	}
	if !p.relay.mayForward(plan, message, len(forwarded), now) {
		p.relay.count(digestOverLink)
		return
	}
	p.relay.count(digestForwarded)
	p.sendTo(addressesOf(plan.Peers), forwarded)
	if message.Limits != nil || message.TargetLimits != nil {
		p.sendTo(addressesOf(plan.Guests), forwarded)
	}
}

// shouldForward reports whether this node has to forward digests from a group.
func (r *groupRelay) shouldForward(plan peering.Plan, group int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range plan.Links {
		if l.Group == group {
			return plan.MayRelay(l) && r.isActiveRelay(l, plan.Self, now)
		}
	}
	return false
}
