package node

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/fleet"
	"acaciakeel/follow"
	"acaciakeel/peering"
	"acaciakeel/poison"
	"acaciakeel/prefix"
	"acaciakeel/pulses"
	"acaciakeel/quota"
	"acaciakeel/store"
)

// cluster is a set of nodes whose datagrams are passed in memory, without network or store.
type cluster struct {
	nodes []*peerExchange
	// received counts the datagrams that each node received; nodes in down receive none.
	received map[int]int
	down     map[int]bool
}

func newCluster(n int) *cluster { return newClusterWithLinks(n, func(int) float64 { return 0 }) }

// newClusterWithLinks returns a cluster whose members state links, in Mbit/s, by their index.
func newClusterWithLinks(n int, link func(i int) float64) *cluster {
	h := &cluster{received: map[int]int{}, down: map[int]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	keys := newSystemKeys()
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1) }
	at := map[netip.AddrPort]int{}
	for i := range n {
		at[netip.MustParseAddrPort(address(i))] = i
	}
	for own := range n {
		f := fleet.New("z0")
		f.Put(fleet.Target{ID: "r", Service: "lm", Address: "r:1", Weights: map[string]int64{model: 1}})
		name := fmt.Sprintf("n%d/x", own)
		v := &view{fleet: f, customerLimiter: testLimiter(), targetLimiter: testLimiter(), log: log, keys: keys, self: keys.members + name, members: map[string]peering.Member{}}
		for other := range n {
			v.setMember(fmt.Sprintf("%sn%d/x", keys.members, other), string(encodeMember(address(other), fmt.Sprintf("z%d", other%5), link(other))))
		}
		v.follower = follow.New(nil, "", follow.Options{}, nil, log)
		p := newPeerExchange(name, f, poison.New(nil), v, log)
		p.write = func(datagram []byte, to netip.AddrPort) {
			if i, ok := at[to]; ok && !h.down[i] {
				h.received[i]++
				h.nodes[i].handle(datagram, netip.MustParseAddrPort(address(own)))
			}
		}
		h.nodes = append(h.nodes, p)
	}
	return h
}

// settle runs the cluster until its nodes know which relays are alive.
func (h *cluster) settle() {
	for begun := time.Now(); time.Since(begun) < relayTimeout+digestInterval; {
		h.round()
	}
}

// round has each node send one update, and waits until digests are due again.
func (h *cluster) round() {
	for i, p := range h.nodes {
		if !h.down[i] {
			p.send(p.view.plan())
		}
	}
	time.Sleep(digestInterval + 5*time.Millisecond)
}

// Guards against nodes that know only the load of their own group: at a hundred nodes each
// knew a tenth of it. All must know a prompt's load within two rounds, and its end.
func TestLoadReachesAllGroups(t *testing.T) {
	// In virtual time, a round takes no longer than nodes count as alive, however busy the
	// machine is.
	synctest.Test(t, func(t *testing.T) { checkLoadReachesAllGroups(t) })
}

func checkLoadReachesAllGroups(t *testing.T) {
	for _, n := range []int{20, 41, 103} {
		h := newCluster(n)
		shared := prefix.Chain{Tokens: 900, Boundaries: []prefix.Boundary{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 900}}}
		ticket := h.nodes[7].fleet.Begin(fleet.Instance{ID: "r"}, fleet.RequestLoad{Chain: shared, UncachedTokens: 900, PromptTokens: 900}, time.Now())
		h.round()
		h.received = map[int]int{}
		h.round()
		for i, p := range h.nodes {
			if load := p.fleet.Occupancy(fleet.Instance{ID: "r"}); load.Inflight != 1 || load.PrefillTokens != 900 {
				t.Errorf("%d nodes: n%d counts %+v", n, i, load)
			}
			if most := 40; h.received[i] > most {
				t.Errorf("%d nodes: n%d got %d datagrams in a round", n, i, h.received[i])
			}
		}
		ticket.End()
		h.round()
		h.round()
		for i, p := range h.nodes {
			if load := p.fleet.Occupancy(fleet.Instance{ID: "r"}); load.Inflight != 0 {
				t.Errorf("%d nodes: n%d still counts %+v", n, i, load)
			}
		}
	}
}

// Guards against a group whose state reaches no other group for two seconds, until its crashed
// relay is removed from the members.
func TestSecondRelayTakesOver(t *testing.T) {
	h := newCluster(60)
	h.round()
	link := h.nodes[0].view.plan().Links[0]
	for i, p := range h.nodes {
		if p.view.self == link.Relays[0] {
			h.down[i] = true
		}
	}
	time.Sleep(relayTimeout)
	by := slices.IndexFunc(h.nodes, func(p *peerExchange) bool {
		return p.view.plan().Group == h.nodes[0].view.plan().Group && p.view.self != link.Relays[0]
	})
	h.nodes[by].fleet.Begin(fleet.Instance{ID: "r"}, fleet.RequestLoad{UncachedTokens: 900, PromptTokens: 900}, time.Now())
	h.round()
	h.round()
	for i, p := range h.nodes {
		if p.view.plan().Group == link.Group && !h.down[i] && p.fleet.Occupancy(fleet.Instance{ID: "r"}).Inflight != 1 {
			t.Errorf("n%d of group %d does not know of the load", i, link.Group)
		}
	}
}

// Guards against an exchange between groups that ends until two lost members are removed from
// the list: while both relays of a group were lost, it sent and received nothing for two seconds.
func TestNextRelaysTakeOver(t *testing.T) {
	for name, lost := range map[string]func(l peering.Link) []string{
		"both relays of the sending group":   func(l peering.Link) []string { return l.Relays[:2] },
		"both relays of the receiving group": func(l peering.Link) []string { return l.RemoteRelays[:2] },
		"one relay of each":                  func(l peering.Link) []string { return []string{l.Relays[0], l.RemoteRelays[0]} },
	} {
		t.Run(name, func(t *testing.T) {
			// In virtual time, the bound is not that of a busy machine.
			synctest.Test(t, func(t *testing.T) { checkNextRelaysTakeOver(t, lost) })
		})
	}
}

func checkNextRelaysTakeOver(t *testing.T, lost func(l peering.Link) []string) {
	h := newCluster(60)
	h.settle()
	plan := h.nodes[0].view.plan()
	link := plan.Links[0]
	down := lost(link)
	for i, p := range h.nodes {
		h.down[i] = slices.Contains(down, p.view.self)
	}
	lostAt := time.Now()
	by := slices.IndexFunc(h.nodes, func(p *peerExchange) bool {
		return p.view.plan().Group == plan.Group && !slices.Contains(down, p.view.self) && !slices.Contains(link.Relays, p.view.self)
	})
	h.nodes[by].fleet.Begin(fleet.Instance{ID: "r"}, fleet.RequestLoad{UncachedTokens: 900, PromptTokens: 900}, lostAt)
	missing := func() (n int) {
		for i, p := range h.nodes {
			if p.view.plan().Group == link.Group && !h.down[i] && p.fleet.Occupancy(fleet.Instance{ID: "r"}).Inflight != 1 {
				n++
			}
		}
		return n
	}
	for missing() > 0 && time.Since(lostAt) < 3*time.Second {
		h.round()
	}
	if took := time.Since(lostAt); missing() > 0 || took > time.Second {
		t.Errorf("%d members do not know of the load %v after the loss", missing(), took)
	}
}

// Guards against digests that fill slow links: relays on 10 Mbit/s links forwarded ten datagrams
// and more each 150 ms to 17 peers, and from the announcement of new weights on nothing arrived
// for 4 s. Cache changes must be dropped, and limits and loads be sent.
func TestDigestsFitSlowLinks(t *testing.T) {
	for _, test := range []struct {
		members, loaded, customers int
		mbps                       float64
	}{{31, 56, 16, 10}, {31, 500, 16, 10}, {31, 56, 16, 2}, {103, 160, 100, 10}, {31, 56, 16, 200}} {
		t.Run(fmt.Sprintf("%d members, %d targets, %v Mbit/s", test.members, test.loaded, test.mbps), func(t *testing.T) {
			members := make([]peering.Member, test.members)
			for i := range members {
				members[i] = peering.Member{Key: fmt.Sprintf("%sn%d/x", newSystemKeys().members, i), Address: "10.0.0.1:7000", LinkMbps: test.mbps}
			}
			if test.mbps > 20 {
				members[0].LinkMbps = 10
			}
			var plan peering.Plan
			for _, m := range members {
				if plan = peering.New(m.Key, members); plan.Links[0].Relays[0] == m.Key {
					break
				}
			}
			link := plan.Links[0]
			var d groupRelay
			now, sent, seconds := time.Unix(1000, 0), 0, 10
			loads, limits, lastLimits := 0, 0, now
			for begun := now; now.Sub(begun) < time.Duration(seconds)*time.Second; now = now.Add(updateInterval(plan, 0)) {
				var all pulses.Update
				for i := range 200 {
					all.Caches = append(all.Caches, fleet.CacheUpdate{Address: "10.0.0.1:80", Boot: 1, Next: now.UnixMilli() + int64(i), Evicted: make([]uint64, 20)})
				}
				d.addOwn(plan, all)
				d.remoteRelaySeen(memberName(link.RemoteRelays[0]), now)
				for _, l := range d.dueLinks(plan, now) {
					if l.group != link.Group {
						continue
					}
					if pause := now.Sub(lastLimits); pause > 300*time.Millisecond {
						t.Errorf("no limits were sent for %v", pause)
					}
					lastLimits = now
					reports := make([]quota.UsageReport, min(test.customers, l.maxLimitReports()))
					for i := range reports {
						reports[i] = quota.UsageReport{Customer: uint64(i), Total: 1e9, Increase: 1e5, Demand: 1e6, Level: -1e5}
					}
					limits += len(reports)
					l.reserved = len(reports) * pulses.LimitEntryBytes
					var digest pulses.Update
					if !l.limitsOnly {
						var load []fleet.Occupancy
						for i := range test.loaded {
							load = append(load, fleet.Occupancy{Target: fleet.Instance{ID: fmt.Sprintf("i-%010d", i)}, Inflight: 3, PrefillTokens: 900})
						}
						digest = d.takePending(l, load)
						loads += len(digest.Loads)
					}
					digest.Limits.Reports = reports
					datagrams, err := digest.Datagrams("n", l.header(plan))
					if err != nil {
						t.Fatal(err)
					}
					size := 0
					for _, datagram := range datagrams {
						size += len(datagram) + datagramOverhead
					}
					d.recordSent(l, size)
					sent += size
				}
			}
			rate := sent / seconds * (plan.GroupCount - 1)
			quarter := int(test.mbps * 1e6 / 8 / 4)
			if forwarded := rate * link.RemotePeers; forwarded > quarter+quarter/20 {
				t.Errorf("forwarding takes %d bytes a second, a quarter of the link is %d", forwarded, quarter)
			}
			if out := rate * peering.AddressedRelays; out > quarter+quarter/20 {
				t.Errorf("sending takes %d bytes a second, a quarter of the link is %d", out, quarter)
			}
			if rate > digestRate+digestRate/20 {
				t.Errorf("digests take %d bytes a second", rate)
			}
			if test.mbps > 20 && rate < digestRate/2 {
				t.Errorf("%d bytes a second on links that have room for %d", rate, digestRate)
			}
			if loads < 2*test.loaded || limits == 0 {
				t.Errorf("%d loads and %d reports of limits in ten seconds", loads, limits)
			}
		})
	}
}

// Guards against a relay that takes over with a slower link than the first one, for which digests
// are sized: it must forward limits and loads, and drop cache changes beyond its share.
func TestSlowerRelayDropsCacheChanges(t *testing.T) {
	h := newClusterWithLinks(60, func(i int) float64 { return 10 })
	plan := h.nodes[0].view.plan()
	var r groupRelay
	now, forwarded, limits, caches := time.Unix(1000, 0), 0, 0, 0
	for begun := now; now.Sub(begun) < 10*time.Second; now = now.Add(digestInterval) {
		for i := range 30 {
			message := &keelv1.Pulse{Group: &keelv1.GroupNews{}}
			if i == 0 {
				message.Limits = &keelv1.LimitNews{}
			}
			if !r.mayForward(plan, message, 1200, now) {
				continue
			}
			forwarded += (1200 + datagramOverhead) * len(plan.Peers)
			if i == 0 {
				limits++
			} else {
				caches++
			}
		}
	}
	if quarter := 10_000_000 / 8 / 4 * 10; forwarded > quarter+quarter/10 {
		t.Errorf("%d bytes forwarded, a quarter of the link is %d", forwarded, quarter)
	}
	if limits < 66 || caches == 0 {
		t.Errorf("%d datagrams with limits and %d others were forwarded", limits, caches)
	}
}

// Guards against a member's link that other members do not know, or that changes its zone.
func TestMemberEntryStatesLink(t *testing.T) {
	for value, want := range map[string]peering.Member{
		string(encodeMember("10.0.0.1:7000", "z1", 10)):    {Address: "10.0.0.1:7000", Zone: "z1", LinkMbps: 10},
		string(encodeMember("10.0.0.1:7000", "", 0.5)):     {Address: "10.0.0.1:7000", LinkMbps: 0.5},
		string(encodeMember("10.0.0.1:7000", "east 1", 0)): {Address: "10.0.0.1:7000", Zone: "east 1"},
		"10.0.0.1:7000":              {Address: "10.0.0.1:7000"},
		"10.0.0.1:7000 z1":           {Address: "10.0.0.1:7000", Zone: "z1"},
		"10.0.0.1:7000 z1 link=fast": {Address: "10.0.0.1:7000", Zone: "z1"},
		"10.0.0.1:7000 z1 link=":     {Address: "10.0.0.1:7000", Zone: "z1"},
		"10.0.0.1:7000 z1 link=-5":   {Address: "10.0.0.1:7000", Zone: "z1", LinkMbps: -5},
	} {
		want.Key = "k"
		if got := decodeMember("k", value); got != want {
			t.Errorf("%q: %+v, want %+v", value, got, want)
		}
		if got := decodeMember("k", value).Link(); got <= 0 {
			t.Errorf("%q: a link of %v Mbit/s", value, got)
		}
	}
}

// Guards against digests that fill the links: with 300 nodes and 3,000 targets each got up to
// 2 MB/s, and after a restart of all nothing was served for half a minute.
func TestDigestsAreBounded(t *testing.T) {
	members := make([]peering.Member, 300)
	for i := range members {
		members[i] = peering.Member{Key: fmt.Sprintf("%sn%d/x", newSystemKeys().members, i), Address: "10.0.0.1:7000"}
	}
	var plan peering.Plan
	for _, m := range members {
		if plan = peering.New(m.Key, members); len(plan.Links) > 0 && plan.Links[0].Relays[0] == m.Key {
			break
		}
	}
	for _, loaded := range []int{0, 200, 3000} {
		var d groupRelay
		now, sent, loads, caches := time.Unix(1000, 0), 0, 0, 0
		begun := now
		for now.Sub(begun) < 10*time.Second {
			var all pulses.Update
			for i := range 200 {
				all.Caches = append(all.Caches, fleet.CacheUpdate{Address: "10.0.0.1:80", Boot: 1, Next: now.UnixMilli() + int64(i), Evicted: make([]uint64, 20)})
			}
			d.addOwn(plan, all)
			for _, l := range d.dueLinks(plan, now) {
				if l.group != plan.Links[0].Group {
					continue
				}
				var load []fleet.Occupancy
				for i := range loaded {
					load = append(load, fleet.Occupancy{Target: fleet.Instance{ID: fmt.Sprintf("i-%010d", i)}, Inflight: 3, PrefillTokens: 900})
				}
				digest := d.takePending(l, load)
				loads, caches = loads+len(digest.Loads), caches+len(digest.Caches)
				datagrams, err := digest.Datagrams("n", l.header(plan))
				if err != nil {
					t.Fatal(err)
				}
				for _, datagram := range datagrams {
					sent += len(datagram)
				}
			}
			now = now.Add(updateInterval(plan, 0))
		}
		if rate := sent * (plan.GroupCount - 1) / 10; float64(rate) > 1.2*digestRate {
			t.Errorf("%d targets with load: a node receives %d bytes a second from the other groups", loaded, rate)
		}
		if loads < loaded || caches == 0 {
			t.Errorf("%d targets with load: %d loads and %d cache changes were sent in ten seconds", loaded, loads, caches)
		}
	}
}

// Guards against changes of the store that do not fit packets, and against members that miss a
// piece without detecting the gap, when 160 runners change together.
func TestChangesAreSplitIntoDatagrams(t *testing.T) {
	c := follow.Changes{After: 100, Events: store.Events{Revision: 1000}}
	for i := range 160 {
		c.Events.Events = append(c.Events.Events, store.Event{Entry: store.Entry{Key: fmt.Sprintf("servers/%d", i), Value: make([]byte, 90), Revision: store.Position(101 + i/2)}})
	}
	pieces, ok := splitChanges(c)
	if !ok || len(pieces) < 10 {
		t.Fatalf("%d pieces, shared: %v", len(pieces), ok)
	}
	after, events := c.After, 0
	for _, piece := range pieces {
		if piece.After != after {
			t.Errorf("a piece begins after %d, the previous one ends at %d", piece.After, after)
		}
		for _, e := range piece.Events.Events {
			if e.Revision.Revision() <= piece.After || e.Revision > piece.Events.Revision {
				t.Errorf("a change of revision %d is in the piece from %d to %d", e.Revision, piece.After, piece.Events.Revision)
			}
		}
		after, events = piece.Events.Revision.Revision(), events+len(piece.Events.Events)
		if d, _ := pulses.Encode(&keelv1.Pulse{Changes: []*keelv1.StoreChanges{encodeChanges(piece)}}); len(d) > 1400 {
			t.Errorf("a piece takes %d bytes", len(d))
		}
	}
	if after != 1000 || events != 160 {
		t.Errorf("%d changes up to revision %d were sent", events, after)
	}
	c.Events.Events[5].Value = make([]byte, maxSharedBytes)
	if _, ok := splitChanges(c); ok {
		t.Error("a value of the size of a whole configuration is shared")
	}
}

// Guards against a starting node that knows no crash reports because the store has not yet
// reported it to its peers: its first update must get a reply.
func TestNonMemberGetsReply(t *testing.T) {
	h := newCluster(5)
	c := poison.Case{Content: poison.Content{URI: "/deadly"}.Fingerprint(), Service: "lm", Customer: "c1"}
	crashed := fleet.Instance{ID: "ended", Born: 1}
	starting := h.nodes[4]
	for _, p := range h.nodes[:4] {
		p.view.setMember(starting.view.self, "")
	}
	h.nodes[0].table.RecordBrokenResponse(c, crashed, time.Now(), time.Now())
	h.nodes[0].table.RecordCrash(crashed, time.Now())
	h.nodes[0].send(h.nodes[0].view.plan())
	if got := starting.table.Evaluate(c.Content, time.Now()).Status; got != poison.Free {
		t.Errorf("a non-member received a report: %s", got)
	}
	starting.send(starting.view.plan())
	if got := starting.table.Evaluate(c.Content, time.Now()).Status; got != poison.Suspect {
		t.Errorf("after its first update it has status %s for the content", got)
	}
}

// Guards against a crashing request that is refused by one group only and goes on to the nodes
// of another.
func TestVerdictReachesAllGroups(t *testing.T) {
	h := newCluster(103)
	c := poison.Case{Content: poison.Content{URI: "/deadly"}.Fingerprint(), Service: "lm", Customer: "c1"}
	for i := range poison.CrashThreshold {
		crashed := fleet.Instance{ID: fmt.Sprint("ended", i), Born: 1}
		h.nodes[i].table.RecordBrokenResponse(c, crashed, time.Now(), time.Now())
		h.nodes[i].table.RecordCrash(crashed, time.Now())
	}
	h.round()
	h.round()
	for i, p := range h.nodes {
		if got := p.table.Evaluate(c.Content, time.Now()); got.Status != poison.Refused {
			t.Errorf("n%d of group %d: %s after %d crashes", i, p.view.plan().Group, got.Status, got.Crashes)
		}
	}
}
