package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"acaciakeel/clock"
	"acaciakeel/store"
)

// modelStore is a store that can be restored from a copy. Its revisions are those of one history.
type modelStore struct {
	revision int64
	keys     map[string]store.Entry
	events   []store.Event
	restores int
}

func (s *modelStore) copy() *modelStore {
	return &modelStore{revision: s.revision, keys: maps.Clone(s.keys), events: slices.Clone(s.events)}
}

func (s *modelStore) write(key, value string) {
	s.revision++
	e := store.Event{Entry: store.Entry{Key: key, Value: []byte(value), Revision: store.Position(s.revision)}, Deleted: value == ""}
	if s.keys[key] = e.Entry; e.Deleted {
		delete(s.keys, key)
	}
	s.events = append(s.events, e)
}

// modelClient is one process's client of the store: it numbers the histories by falls of the revision
// alone and knows whether the store was restored since its latest call.
type modelClient struct {
	store.Store
	of       *modelStore
	history  int
	highest  int64
	restores int
	cut      bool
}

func (c *modelClient) AdvanceHistory(number int) {
	if number > c.history {
		c.history, c.highest = number, 0
	}
}

var errCut = errors.New("cut off from the store")

func (c *modelClient) List(context.Context, string) (store.Listing, error) {
	if c.cut {
		return store.Listing{}, errCut
	}
	if c.of.revision < c.highest {
		c.AdvanceHistory(c.history + 1)
	}
	c.highest, c.restores = max(c.highest, c.of.revision), c.of.restores
	l := store.Listing{Revision: store.At(c.history, c.of.revision)}
	l.Through = l.Revision
	for _, key := range slices.Sorted(maps.Keys(c.of.keys)) {
		e := c.of.keys[key]
		e.Revision = store.At(c.history, e.Revision.Revision())
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

func (c *modelClient) Watch(_ context.Context, _ string, after store.Position, _ time.Duration) (store.Events, error) {
	if c.cut {
		return store.Events{}, errCut
	}
	if after.History() != c.history || c.of.revision < after.Revision() {
		return store.Events{Compacted: true}, nil
	}
	out := store.Events{Revision: store.At(c.history, c.of.revision), Reconnected: c.restores != c.of.restores}
	c.highest = max(c.highest, c.of.revision)
	for _, e := range c.of.events {
		if e.Revision.Revision() > after.Revision() {
			e.Revision = store.At(c.history, e.Revision.Revision())
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}

// modelView is the view that a follower's handler keeps.
type modelView struct{ keys map[string]string }

func (v *modelView) Reset(entries []store.Entry, _ store.Position) {
	v.keys = map[string]string{}
	for _, e := range entries {
		v.keys[e.Key] = string(e.Value)
	}
}

func (v *modelView) Apply(events []store.Event) {
	for _, e := range events {
		if v.keys[e.Key] = string(e.Value); e.Deleted {
			delete(v.keys, e.Key)
		}
	}
}

type modelProcess struct {
	f      *Follower
	client *modelClient
	view   *modelView
}

// step makes the call that is due. The first process watches for the others, which watch only if
// they know that they are behind.
func (p *modelProcess) step(first bool) {
	p.f.disputes = disputes{} // the model has no time in which to wait
	due := p.f.listingDue()
	switch {
	case due != "":
		_ = p.f.list(context.Background(), due)
	case first:
		_ = p.f.watch(context.Background(), ReasonFirstInRank)
	case p.f.behind:
		_ = p.f.watch(context.Background(), ReasonBehind)
	}
}

// Guards against a view that stays wrong after the store was restored: restores in series, beside
// processes that are cut off and updates between them that are lost, delayed or late.
func TestViewsSettleAfterRestores(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{revision: 10, keys: map[string]store.Entry{}}
		copies := []*modelStore{s.copy()}
		var processes []*modelProcess
		var changes []Changes
		var confirmations []Confirmation
		for range 3 {
			p := &modelProcess{client: &modelClient{of: s}, view: &modelView{keys: map[string]string{}}}
			p.f = New(p.client, "", Options{PeerTimeout: func() time.Duration { return time.Hour }}, p.view, log)
			p.f.OnChanges(func(c Changes) {
				c.Digest, _ = p.f.DigestAt(c.After)
				changes = append(changes, c)
			})
			processes = append(processes, p)
		}
		deliver := func(to *modelProcess, c Confirmation) {
			to.f.ReceiveConfirmation(c, clock.Now().Add(-time.Second), true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))
			},
			"copy": func(*rapid.T) { copies = append(copies, s.copy()) },
			"restore": func(t *rapid.T) {
				c, restores := rapid.SampledFrom(copies).Draw(t, "copy").copy(), s.restores
				*s = *c
				s.restores = restores + 1
			},
			"step": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "process")
				processes[i].step(i == 0)
			},
			"cut": func(t *rapid.T) {
				p := processes[rapid.IntRange(0, 2).Draw(t, "process")]
				p.client.cut = !p.client.cut
			},
			"confirm": func(t *rapid.T) {
				if c, ok := processes[rapid.IntRange(0, 2).Draw(t, "sender")].f.Confirmation(); ok {
					confirmations = append(confirmations, c)
				}
			},
			"hear changes": func(t *rapid.T) {
				if len(changes) > 0 {
					processes[rapid.IntRange(1, 2).Draw(t, "process")].f.ReceiveChanges(rapid.SampledFrom(changes).Draw(t, "changes"))
				}
			},
			"hear confirmation": func(t *rapid.T) {
				if len(confirmations) > 0 {
					deliver(processes[rapid.IntRange(1, 2).Draw(t, "process")], rapid.SampledFrom(confirmations).Draw(t, "confirmation"))
				}
			},
		})
		for _, p := range processes {
			p.client.cut = false
		}
		for range 6 {
			for i, p := range processes {
				p.step(i == 0)
				if c, ok := processes[0].f.Confirmation(); ok && i > 0 {
					p.f.ReceiveConfirmation(c, clock.Now(), true)
				}
			}
		}
		var want []string
		for key, e := range s.keys {
			want = append(want, fmt.Sprintf("%s=%s", key, e.Value))
		}
		slices.Sort(want)
		for i, p := range processes {
			var got []string
			for key, value := range p.view.keys {
				got = append(got, fmt.Sprintf("%s=%s", key, value))
			}
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("process %d has %s at %d, the store %s at %d", i, strings.Join(got, " "), p.f.Revision().Revision(), strings.Join(want, " "), s.revision)
			}
		}
	})
}
