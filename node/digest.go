package node

import (
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/peering"
	"acaciakeel/pulses"
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
	// outcomes counts digests by outcome; nil disables counting.
	outcomes *prometheus.CounterVec
}

// Outcomes of a digest, the values of the counter's label.
const (
	digestSent      = "told"
	digestForwarded = "passed_on"
	// digestDropped: the sender's division into groups differed from this node's.
	digestDropped = "left_out"
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
)

// dueLink is another group to which this node has to send a digest now.
type dueLink struct {
	group     int
	addresses []string
	// budget is the size in bytes up to which a digest may be sent at every digestInterval.
	budget int
}

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
// none of the relays before it was heard from recently.
func (r *groupRelay) isActiveRelay(l peering.Link, self string, now time.Time) bool {
	for _, key := range l.Relays {
		if key == self {
			return true
		}
		if at, ok := r.lastSeen[memberName(key)]; ok && now.Sub(at) <= relayTimeout {
			return false
		}
	}
	return false
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
		rate := digestRate / (plan.GroupCount - 1)
		pause := digestInterval + time.Duration(r.overdraft[l.Group])*time.Second/time.Duration(rate)
		if since := now.Sub(r.sentAt[l.Group]); since >= pause {
			r.sentAt[l.Group] = now
			out = append(out, dueLink{group: l.Group, addresses: l.RemoteAddresses, budget: int(float64(rate) * digestInterval.Seconds())})
		}
	}
	return out
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
	used := len(update.Loads) * pulses.GroupLoadBytes(update.Loads)
	used += update.TruncateTo(max(l.budget-used, l.budget/2))
	r.overdraft[l.group] = max(0, used-l.budget)
	return update
}

// groupUpdate returns the digest of this node's group for another group.
func (p *peerExchange) groupUpdate(l dueLink) pulses.Update {
	now := time.Now()
	update := p.relay.takePending(l, p.fleet.GroupOccupancy(now))
	update.Engines = p.fleet.GroupEngineReports(now)
	update.Limits, update.TargetLimits = p.view.customerLimiter.GroupUpdate(l.group, now), p.view.targetLimiter.GroupUpdate(l.group, now)
	p.addGroupDemand(l.group, &update, now)
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
	p.relay.count(digestForwarded)
	p.sendTo(addressesOf(plan.Peers), forwarded)
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
