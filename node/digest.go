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

// digest is what a node relays between its group and the others. Each group tells
// each other one what its members have together, by one member that tells one
// there, who passes it on: a node hears of a hundred others in the datagrams of its
// own group and one summary of each other one. With 103 nodes before 160 runners the
// busiest runner has 1.3 times the mean's arrivals; it had 6.7 times, with packed runs,
// while each told twelve others once a second.
type digest struct {
	mu sync.Mutex
	// lastHeard is when each member of the group, by its name, was heard last.
	lastHeard map[string]time.Time
	// waiting is the group's news for each other group that this node may relay to.
	waiting map[int]*pulses.Update
	// told are the targets whose load was told last, by group; toldAt is when.
	told   map[int]map[fleet.Instance]bool
	toldAt map[int]time.Time
	// owed is how many bytes beyond its share the last digest to a group took.
	owed map[int]int
	// counted counts what becomes of digests; nil counts nothing.
	counted *prometheus.CounterVec
}

// What becomes of a digest; each is a label of the counter.
const (
	digestTold     = "told"
	digestPassedOn = "passed_on"
	// digestLeftOut: its group was divided otherwise than this node's.
	digestLeftOut = "left_out"
)

func (d *digest) count(what string) {
	if d.counted != nil {
		d.counted.WithLabelValues(what).Inc()
	}
}

// Figures of digests.
const (
	// digestEvery is the least pause between two digests to the same group: with the
	// pulse before it, load in another group is known after 0.15 s in the mean, less
	// than a long prompt takes to read.
	digestEvery = 150 * time.Millisecond
	// digestRate bounds what a node hears from all other groups together, in bytes
	// a second: a tenth of a link of 20 Mbit/s. Where digests grow with targets and
	// groups, they come less often, and the news of caches that finds no room is left
	// out: unbounded, they fill the links of all once hundreds have started anew.
	digestRate = 256 << 10
	// heardWithin is for how long a member counts as there after it was heard: two
	// pulses of a full group and a half. Then the next in order relays.
	heardWithin = 500 * time.Millisecond
)

// link is a way to another group that this node has to take now.
type link struct {
	group int
	far   []string
	// room is how many bytes a digest may have if it is to come as often as may be.
	room int
}

// label says whose news a digest is.
func (l link) label(plan peering.Plan) *keelv1.GroupNews {
	return &keelv1.GroupNews{Group: uint32(plan.Group), Groups: uint32(plan.GroupCount)}
}

// heard notes a sign of a member.
func (d *digest) heard(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastHeard == nil {
		d.lastHeard = map[string]time.Time{}
	}
	d.lastHeard[name] = now
	for other, at := range d.lastHeard {
		if now.Sub(at) > heardWithin {
			delete(d.lastHeard, other)
		}
	}
}

// relays reports whether it is the turn of the node with key self to relay on a
// link: it is if nothing is heard of those before it.
func (d *digest) relays(l peering.Link, self string, now time.Time) bool {
	for _, key := range l.Relays {
		if key == self {
			return true
		}
		if at, ok := d.lastHeard[nameOf(key)]; ok && now.Sub(at) <= heardWithin {
			return false
		}
	}
	return false
}

// nameOf returns the name of the member with a key.
func nameOf(key string) string {
	return strings.TrimPrefix(key, ownKeysOf().members)
}

// keep keeps news of the own group's members for the other groups.
func (d *digest) keep(all pulses.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.waiting {
		w.AppendRelayed(all)
	}
}

// collect keeps this node's own news, for those groups alone that it may relay to.
func (d *digest) collect(plan peering.Plan, own pulses.Update) {
	own.Loads, own.Engines = nil, nil
	d.mu.Lock()
	next := map[int]*pulses.Update{}
	for _, l := range plan.Links {
		if plan.MayRelay(l) {
			if next[l.Group] = d.waiting[l.Group]; next[l.Group] == nil {
				next[l.Group] = &pulses.Update{}
			}
		}
	}
	d.waiting = next
	d.mu.Unlock()
	d.keep(own)
}

// due returns the links on which this node is to tell now.
func (d *digest) due(plan peering.Plan, now time.Time) []link {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.toldAt == nil {
		d.toldAt, d.told, d.owed = map[int]time.Time{}, map[int]map[fleet.Instance]bool{}, map[int]int{}
	}
	var out []link
	for _, l := range plan.Links {
		if d.waiting[l.Group] == nil {
			continue
		}
		if !d.relays(l, plan.Self, now) {
			*d.waiting[l.Group] = pulses.Update{}
			continue
		}
		rate := digestRate / (plan.GroupCount - 1)
		pause := digestEvery + time.Duration(d.owed[l.Group])*time.Second/time.Duration(rate)
		if since := now.Sub(d.toldAt[l.Group]); since >= pause {
			d.toldAt[l.Group] = now
			out = append(out, link{group: l.Group, far: l.RemoteAddresses, room: int(float64(rate) * digestEvery.Seconds())})
		}
	}
	return out
}

// take takes the news that waits for a group: all loads, and of the rest what there
// is room for.
func (d *digest) take(l link, loads []fleet.Occupancy) pulses.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := *d.waiting[l.group]
	*d.waiting[l.group] = pulses.Update{}
	all.Loads = loads
	now := map[fleet.Instance]bool{}
	for _, o := range loads {
		now[o.Target] = true
	}
	// What has become idle is said once, so that it does not count until it is old.
	for life := range d.told[l.group] {
		if !now[life] {
			all.Loads = append(all.Loads, fleet.Occupancy{Target: life})
		}
	}
	d.told[l.group] = now
	used := len(all.Loads) * pulses.GroupLoadBytes
	used += all.TruncateTo(max(l.room-used, l.room/2))
	d.owed[l.group] = max(0, used-l.room)
	return all
}

// groupNews returns what the node's group tells another one.
func (p *pulse) groupNews(l link) pulses.Update {
	now := time.Now()
	all := p.digest.take(l, p.fleet.GroupOccupancy(now))
	all.Engines = p.fleet.GroupEngineReports(now)
	all.Limits, all.TargetLimits = p.view.limitBook.GroupUpdate(l.group, now), p.view.targetBook.GroupUpdate(l.group, now)
	p.digest.count(digestTold)
	return all
}

// takeGroup takes the news of another group, and passes it on to the own one where
// that is this node's turn. News of groups that were divided otherwise is left out:
// the same members would count twice.
func (p *pulse) takeGroup(message *keelv1.Pulse) {
	plan := p.view.plan()
	g := message.Group
	if int(g.Groups) != plan.GroupCount || int(g.Group) == plan.Group {
		p.digest.count(digestLeftOut)
		return
	}
	now := time.Now()
	p.takeLimits(message, now)
	p.fleet.MergeGroupOccupancy(int(g.Group), pulses.DecodeGroupLoads(g), now)
	p.heardFindings(message, now)
	p.heardSuspects(message, now)
	p.fleet.MergeGroupCacheUpdates(int(g.Group), pulses.DecodeCaches(message.Caches), now)
	p.heardSaves(message, now)
	p.fleet.MergeGroupEngineReports(int(g.Group), pulses.DecodeEngines(message.Engines), now)
	if g.PassedOn || !p.digest.passesOn(plan, int(g.Group), now) {
		return
	}
	g.PassedOn = true
	passed, err := pulses.Encode(message)
	if err != nil {
		p.log.WithError(err).WithField("event", "pulse_failed").Error("the group chooses without the news of another")
		return
	}
	p.digest.count(digestPassedOn)
	p.sendTo(addressesOf(plan.Peers), passed)
}

// passesOn reports whether this node is to pass on what comes from a group.
func (d *digest) passesOn(plan peering.Plan, group int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range plan.Links {
		if l.Group == group {
			return plan.MayRelay(l) && d.relays(l, plan.Self, now)
		}
	}
	return false
}
