package node

import (
	"net/netip"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
	"acaciakeel/fleet"
	"acaciakeel/platform"
	"acaciakeel/telemetry"
)

// foreign are the entries of the store that name nothing to use: those of other
// writers that can't be decoded, and those of services that no configuration has
// named yet. Taken as they are, one of them would get requests that can't be
// served there; refused as a whole, one would hide all entries beside it.
type foreign struct {
	log   logrus.FieldLogger
	count *prometheus.CounterVec

	mu sync.Mutex
	// said is the revision of each entry at which it was left out, so that a
	// listing that finds it again says nothing new.
	said map[string]int64
	// named are the services that configurations have named in the life of the
	// process; nil before the first. One that is named no more keeps its targets:
	// no route leads there, but requests under way may still be sent again.
	named map[string]bool
	// unnamed are the targets of the other services, by id.
	unnamed map[string]unnamed
}

// unnamed is a sound entry that waits for a configuration to name its service.
type unnamed struct {
	runner   fleet.Target
	revision int64
}

func newForeign(r *prometheus.Registry, log logrus.FieldLogger) *foreign {
	return &foreign{
		log:     log,
		count:   telemetry.NewCounter(r, "keel_node_entries_left_out_total", "Entries of the store left out, by reason.", "reason"),
		said:    map[string]int64{},
		unnamed: map[string]unnamed{},
	}
}

// say logs and counts an entry that is left out, once a change of it.
func (f *foreign) say(e platform.RejectedEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision, ok := f.said[e.Key]; ok && revision == e.Revision {
		return
	}
	f.said[e.Key] = e.Revision
	f.count.WithLabelValues(string(e.Err.Reason)).Inc()
	f.log.WithError(e.Err).WithFields(logrus.Fields{"event": "entry_left_out", "key": e.Key, "reason": e.Err.Reason, "revision": e.Revision}).Warn("an entry of the store names nothing to use until it changes")
}

// release ends the waiting of a target's entry.
func (f *foreign) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unnamed, id)
}

// forget forgets what was said of an entry that is there no more, or good again.
func (f *foreign) forget(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.said, key)
}

// relisted forgets the entries below a prefix that a listing did not find.
func (f *foreign) relisted(prefix string, there func(key string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.said {
		if strings.HasPrefix(key, prefix) && !there(key) {
			delete(f.said, key)
		}
	}
	for id := range f.unnamed {
		if key := platform.TargetKey(id); strings.HasPrefix(key, prefix) && !there(key) {
			delete(f.unnamed, id)
		}
	}
}

// hold keeps a target's entry and returns true if its service is not named yet.
// told is set where a configuration has come, by which it can be judged.
func (f *foreign) hold(r fleet.Target, revision int64) (held, told bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.named[r.Service] {
		return false, true
	}
	f.unnamed[r.ID] = unnamed{runner: r, revision: revision}
	return true, f.named != nil
}

// name takes the services that a configuration names. It returns the targets that
// become usable by it, and those that still don't.
func (f *foreign) name(services map[string]*catalog.Service) (usable, still []unnamed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.named == nil {
		f.named = map[string]bool{}
	}
	for name := range services {
		f.named[name] = true
	}
	for id, u := range f.unnamed {
		if f.named[u.runner.Service] {
			usable = append(usable, u)
			delete(f.unnamed, id)
		} else {
			still = append(still, u)
		}
	}
	return usable, still
}

// known reports whether a target's service is one that the configuration names.
// If not, the target is used no more; its entry waits for a configuration that does.
func (v *view) known(r fleet.Target, revision int64) bool {
	held, told := v.foreign.hold(r, revision)
	if !held {
		v.foreign.release(r.ID)
		v.foreign.forget(platform.TargetKey(r.ID))
		return true
	}
	v.end(r.ID)
	if told {
		v.sayUnnamed(unnamed{runner: r, revision: revision})
	}
	return false
}

func (v *view) sayUnnamed(u unnamed) {
	v.foreign.say(platform.RejectedEntry{
		Key: platform.TargetKey(u.runner.ID), Revision: u.revision,
		Err: &platform.EntryError{Reason: platform.UnknownService, Field: u.runner.Service},
	})
}

// name takes in the targets whose services a configuration has come to name.
func (v *view) name(services map[string]*catalog.Service) {
	usable, still := v.foreign.name(services)
	for _, u := range usable {
		v.TargetSet(u.runner, u.revision)
	}
	for _, u := range still {
		v.sayUnnamed(u)
	}
}

// end takes a target out whose entry is there and can't be used. Its writer has
// reached the store, so an outage before excuses nothing.
func (v *view) end(id string) {
	v.mu.Lock()
	v.stay(id)
	v.mu.Unlock()
	v.fleet.Remove(id)
}

// EntryRejected implements platform.View.
func (v *view) EntryRejected(e platform.RejectedEntry) {
	if id, ok := platform.ParseTargetKey(e.Key); ok {
		v.foreign.release(id)
		v.end(id)
	}
	if strings.HasPrefix(e.Key, v.keys.members) {
		v.enlist(e.Key, "")
	}
	if e.Key == v.keys.seat {
		v.seat.ObserveForeign(e.Revision)
		v.holder.Wake()
	}
	v.foreign.say(e)
}

// memberFault returns what is wrong with the entry of a member, or nil. One whose
// address can't be read would be counted among those that share the work, and be
// logged with each pulse.
func (v *view) memberFault(key, value string) *platform.EntryError {
	if !isName(strings.TrimPrefix(key, v.keys.members)) {
		return &platform.EntryError{Reason: platform.BadKey}
	}
	at, err := netip.ParseAddrPort(readMember(key, value).Address)
	if err != nil || at.Port() == 0 {
		return &platform.EntryError{Reason: platform.BadValue, Field: "address", Err: err}
	}
	return nil
}
