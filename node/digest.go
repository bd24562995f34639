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

// groupRelay is what a node relays between its group and the others. Each group tells
// each other one what its members have together, by one member that tells one
// there, who passes it on: a node hears of a hundred others in the datagrams of its
// own group and one summary of each other one. With 103 nodes before 160 runners the
// busiest runner has 1.3 times the mean's arrivals; it had 6.7 times, with packed runs,
// while each told twelve others once a second.
type groupRelay struct {
	mu sync.Mutex
	// lastSeen is when each member of the group, by its name, was heard last.
	lastSeen map[string]time.Time
	// pending is the group's news for each other group that this node may relay to.
	pending map[int]*pulses.Update
	// sentTargets are the targets whose load was sentTargets last, by group; toldAt is when.
	sentTargets map[int]map[fleet.Instance]bool
	sentAt      map[int]time.Time
	// overdraft is how many bytes beyond its share the last digest to a group took.
	overdraft map[int]int
	// outcomes counts what becomes of digests; nil counts nothing.
	outcomes *prometheus.CounterVec
}

// What becomes of a digest; each is a label of the counter.
const (
	digestSent      = "told"
	digestForwarded = "passed_on"
	// digestDropped: its group was divided otherwise than this node's.
	digestDropped = "left_out"
)

func (d *groupRelay) count(what string) {
	if d.outcomes != nil {
		d.outcomes.WithLabelValues(what).Inc()
	}
}

// Figures of digests.
const (
	// digestInterval is the least pause between two digests to the same group: with the
	// pulse before it, load in another group is known after 0.15 s in the mean, less
	// than a long prompt takes to read.
	digestInterval = 150 * time.Millisecond
	// digestRate bounds what a node hears from all other groups together, in bytes
	// a second: a tenth of a link of 20 Mbit/s. Where digests grow with targets and
	// groups, they come less often, and the news of caches that finds no room is left
	// out: unbounded, they fill the links of all once hundreds have started anew.
	digestRate = 256 << 10
	// relayTimeout is for how long a member counts as there after it was heard: two
	// pulses of a full group and a half. Then the next in order relays.
	relayTimeout = 500 * time.Millisecond
)

// dueLink is a way to another group that this node has to take now.
type dueLink struct {
	group     int
	addresses []string
	// budget is how many bytes a digest may have if it is to come as often as may be.
	budget int
}

// header says whose news a digest is.
func (l dueLink) header(plan peering.Plan) *keelv1.GroupNews {
	return &keelv1.GroupNews{Group: uint32(plan.Group), Groups: uint32(plan.GroupCount)}
}

// memberSeen notes a sign of a member.
func (d *groupRelay) memberSeen(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastSeen == nil {
		d.lastSeen = map[string]time.Time{}
	}
	d.lastSeen[name] = now
	for other, at := range d.lastSeen {
		if now.Sub(at) > relayTimeout {
			delete(d.lastSeen, other)
		}
	}
}

// isActiveRelay reports whether it is the turn of the node with key self to relay on a
// link: it is if nothing is heard of those before it.
func (d *groupRelay) isActiveRelay(l peering.Link, self string, now time.Time) bool {
	for _, key := range l.Relays {
		if key == self {
			return true
		}
		if at, ok := d.lastSeen[memberName(key)]; ok && now.Sub(at) <= relayTimeout {
			return false
		}
	}
	return false
}

// memberName returns the name of the member with a key.
func memberName(key string) string {
	return strings.TrimPrefix(key, newSystemKeys().members)
}

// addPending keeps news of the own group's members for the other groups.
func (d *groupRelay) addPending(all pulses.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.pending {
		w.AppendRelayed(all)
	}
}

// addOwn keeps this node's own news, for those groups alone that it may relay to.
func (d *groupRelay) addOwn(plan peering.Plan, own pulses.Update) {
	own.Loads, own.Engines = nil, nil
	d.mu.Lock()
	next := map[int]*pulses.Update{}
	for _, l := range plan.Links {
		if plan.MayRelay(l) {
			if next[l.Group] = d.pending[l.Group]; next[l.Group] == nil {
				next[l.Group] = &pulses.Update{}
			}
		}
	}
	d.pending = next
	d.mu.Unlock()
	d.addPending(own)
}

// dueLinks returns the links on which this node is to tell now.
func (d *groupRelay) dueLinks(plan peering.Plan, now time.Time) []dueLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sentAt == nil {
		d.sentAt, d.sentTargets, d.overdraft = map[int]time.Time{}, map[int]map[fleet.Instance]bool{}, map[int]int{}
	}
	var out []dueLink
	for _, l := range plan.Links {
		if d.pending[l.Group] == nil {
			continue
		}
		if !d.isActiveRelay(l, plan.Self, now) {
			*d.pending[l.Group] = pulses.Update{}
			continue
		}
		rate := digestRate / (plan.GroupCount - 1)
		pause := digestInterval + time.Duration(d.overdraft[l.Group])*time.Second/time.Duration(rate)
		if since := now.Sub(d.sentAt[l.Group]); since >= pause {
			d.sentAt[l.Group] = now
			out = append(out, dueLink{group: l.Group, addresses: l.RemoteAddresses, budget: int(float64(rate) * digestInterval.Seconds())})
		}
	}
	return out
}

// takePending takes the news that waits for a group: all loads, and of the rest what there
// is room for.
func (d *groupRelay) takePending(l dueLink, loads []fleet.Occupancy) pulses.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := *d.pending[l.group]
	*d.pending[l.group] = pulses.Update{}
	all.Loads = loads
	now := map[fleet.Instance]bool{}
	for _, o := range loads {
		now[o.Target] = true
	}
	// What has become idle is said once, so that it does not count until it is old.
	for life := range d.sentTargets[l.group] {
		if !now[life] {
			all.Loads = append(all.Loads, fleet.Occupancy{Target: life})
		}
	}
	d.sentTargets[l.group] = now
	used := len(all.Loads) * pulses.GroupLoadBytes
	used += all.TruncateTo(max(l.budget-used, l.budget/2))
	d.overdraft[l.group] = max(0, used-l.budget)
	return all
}

// groupUpdate returns what the node's group tells another one.
func (p *peerExchange) groupUpdate(l dueLink) pulses.Update {
	now := time.Now()
	all := p.relay.takePending(l, p.fleet.GroupOccupancy(now))
	all.Engines = p.fleet.GroupEngineReports(now)
	all.Limits, all.TargetLimits = p.view.customerLimiter.GroupUpdate(l.group, now), p.view.targetLimiter.GroupUpdate(l.group, now)
	p.relay.count(digestSent)
	return all
}

// receiveGroup takes the news of another group, and passes it on to the own one where
// that is this node's turn. News of groups that were divided otherwise is left out:
// the same members would count twice.
func (p *peerExchange) receiveGroup(message *keelv1.Pulse) {
	plan := p.view.plan()
	g := message.Group
	if int(g.Groups) != plan.GroupCount || int(g.Group) == plan.Group {
		p.relay.count(digestDropped)
		return
	}
	now := time.Now()
	p.receiveLimits(message, now)
	p.fleet.MergeGroupOccupancy(int(g.Group), pulses.DecodeGroupLoads(g), now)
	p.receiveFindings(message, now)
	p.receiveSuspects(message, now)
	p.fleet.MergeGroupCacheUpdates(int(g.Group), pulses.DecodeCaches(message.Caches), now)
	p.receiveSaves(message, now)
	p.fleet.MergeGroupEngineReports(int(g.Group), pulses.DecodeEngines(message.Engines), now)
	if g.PassedOn || !p.relay.shouldForward(plan, int(g.Group), now) {
		return
	}
	g.PassedOn = true
	passed, err := pulses.Encode(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("the group chooses without the news of another")
		return
	}
	p.relay.count(digestForwarded)
	p.sendTo(addressesOf(plan.Peers), passed)
}

// shouldForward reports whether this node is to pass on what comes from a group.
func (d *groupRelay) shouldForward(plan peering.Plan, group int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range plan.Links {
		if l.Group == group {
			return plan.MayRelay(l) && d.isActiveRelay(l, plan.Self, now)
		}
	}
	return false
}
