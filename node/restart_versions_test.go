package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
	"acaciakeel/origin"
	"acaciakeel/platform"
	"acaciakeel/pulses"
)

// newRestartEnv returns an environment with one node and two runners of each of the given software
// versions.
func newRestartEnv(t *testing.T, served ...string) *testEnv {
	t.Helper()
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		w.runners = w.runners[:0]
		for _, build := range served {
			for range 2 {
				w.runners = append(w.runners, newVersionRunner(len(w.runners), build))
			}
		}
	})
	w.until("all runners are known", func() bool { return len(w.node.view.fleet.Targets("lm")) == len(w.runners) })
	return w
}

func newVersionRunner(i int, build string) *runner.Runner {
	r := runner.Start(fmt.Sprintf("%s-%d", build, i), "lm", map[string]int64{model: 1})
	r.SetBuild(build)
	r.SetPace(20 * time.Millisecond)
	return r
}

// list adds two runners of a software version to the platform's list.
func (w *testEnv) list(build string) {
	for range 2 {
		r := newVersionRunner(len(w.runners), build)
		w.t.Cleanup(r.Close)
		w.runners = append(w.runners, r)
		w.store.Set(r.Entry("ready").Key, r.Entry("ready").Value)
	}
}

// unlist removes the runners of a software version from the platform's list.
func (w *testEnv) unlist(build string) {
	for _, r := range w.runners {
		if r.Build() == build {
			w.store.Remove(platform.TargetKey(r.ID))
		}
	}
}

// awaitMark waits until the store names the versions that began streams.
func (w *testEnv) awaitMark(want string) {

	w.t.Helper()
	w.until("the versions "+want+" are marked", func() bool {
		v := w.node.view
		v.mu.Lock()
		defer v.mu.Unlock()
		mark := v.versionMarks["lm"]
		return mark != nil && fmt.Sprint(mark.builds) == want
	})
}

// beginStreams begins streams and breaks each off after two events.
func (w *testEnv) beginStreams() {
	for i := range streamCount {
		w.beginAndAbandon(w.node, streamRequest(fmt.Sprintf("begun-%d", i), i))
	}
}

// resumeStreams resumes each of them and returns how many went on.
func (w *testEnv) resumeStreams() (went int) {
	w.t.Helper()
	for i := range streamCount {
		r := streamRequest(fmt.Sprintf("resumed-%d", i), i)
		r.Resumes, r.LastEventID = fmt.Sprintf("begun-%d", i), "2"
		a := w.exchange(w.node, r)
		switch {
		case a.err == nil && a.status == http.StatusOK && a.body == restOfStream():
			went++
		case a.status != http.StatusServiceUnavailable:
			w.t.Errorf("stream %d: status %d, error %v: %s", i, a.status, a.err, a.body)
		}
	}
	return went
}

// restartAll kills all nodes, lets something happen while none runs, and starts one.
func (w *testEnv) restartAll(meanwhile func()) {
	w.node.cancel()
	meanwhile()
	w.node = w.startNode("n0")
}

// Guards against streams joined from two versions after all entries were killed and targets replaced.
func TestReplacedVersionIsKnownAfterAllEntriesRestarted(t *testing.T) {
	w := newRestartEnv(t, "v1")
	w.awaitMark("[v1]")
	w.beginStreams()
	w.restartAll(func() { w.list("v2"); w.unlist("v1") })
	if went := w.resumeStreams(); went > 0 {
		t.Errorf("%d streams went on without a target of their version", went)
	}
	w.checkContinuations(0)
}

// Guards against streams of the only version that are refused after all entries were killed.
func TestSoleVersionIsKnownAfterAllEntriesRestarted(t *testing.T) {
	for name, meanwhile := range map[string]func(*testEnv){
		"it serves alone":        func(*testEnv) {},
		"another one was listed": func(w *testEnv) { w.list("v2") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newRestartEnv(t, "v1")
			w.awaitMark("[v1]")
			w.beginStreams()
			w.restartAll(func() { meanwhile(w) })
			if went := w.resumeStreams(); went != streamCount {
				t.Errorf("%d of %d streams went on", went, streamCount)
			}
			w.checkContinuations(streamCount)
		})
	}
}

// awaitRecords waits until the store has records of all streams that began at other versions than
// the given one.
func (w *testEnv) awaitRecords(base string) {
	w.t.Helper()
	began := 0
	for _, s := range w.executed(w.runners) {
		if s.Build != base {
			began++
		}
	}
	w.until("the records are saved", func() bool { known, _ := w.savedRecords(); return known >= began })
}

// savedRecords returns how many records of streams are in the store, and how many are disputed.
func (w *testEnv) savedRecords() (known, disputed int) {
	listing, err := w.node.store.List(w.t.Context(), w.node.view.keys.streams)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, e := range listing.Entries {
		if !strings.HasPrefix(e.Key, w.node.view.keys.streams) {
			continue
		}
		reports, err := pulses.DecodeStoredOrigins(e.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, r := range reports {
			if r.Origin == origin.Disputed {
				disputed += len(r.Streams)
			} else {
				known += len(r.Streams)
			}
		}
	}
	return known, disputed
}

// Guards against streams of several versions that nobody knows after all entries were killed, so
// that none goes on although targets of each version serve.
func TestStreamsAreKnownAfterAllEntriesRestarted(t *testing.T) {
	for _, test := range []struct {
		name string
		// listedLater is set if the second version is listed after the streams began.
		listedLater bool
		meanwhile   func(*testEnv)
		// gone is the version that has no target left.
		gone string
	}{
		{"both versions serve", false, func(*testEnv) {}, ""},
		{"a third version is listed", false, func(w *testEnv) { w.list("v3") }, ""},
		{"one version has left", false, func(w *testEnv) { w.unlist("v1") }, "v1"},
		{"the second version came later", true, func(*testEnv) {}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			served := []string{"v1", "v2"}
			if test.listedLater {
				served = served[:1]
			}
			w := newRestartEnv(t, served...)
			w.awaitMark(fmt.Sprint(served))
			w.beginStreams()
			if test.listedLater {
				w.list("v2")
			}
			w.awaitRecords(served[0])
			want := 0
			for _, s := range w.executed(w.runners) {
				if s.Build != test.gone {
					want++
				}
			}
			w.restartAll(func() { test.meanwhile(w) })
			if went := w.resumeStreams(); went != want {
				t.Errorf("%d of %d streams went on", went, want)
			}
			w.checkContinuations(want)
		})
	}
}

// Guards against a record that was disputed before all entries were killed and counts as certain
// afterwards.
func TestDisputedStreamIsUnknownAfterAllEntriesRestarted(t *testing.T) {
	w := newRestartEnv(t, "v1", "v2")
	w.awaitMark("[v1 v2]")
	w.beginStreams()
	w.awaitRecords("v1")
	for _, r := range w.runners {
		w.node.exchange.origins.targetChanged(r.ID)
	}
	w.until("the disputes are saved", func() bool { _, disputed := w.savedRecords(); return disputed >= streamCount })
	w.restartAll(func() {})
	if went := w.resumeStreams(); went > 0 {
		t.Errorf("%d streams of unknown origin went on", went)
	}
}

// Guards against calls of the store for records that nobody needs: one version serves alone.
func TestRecordsAreSavedOnlyInDoubt(t *testing.T) {
	w := newRestartEnv(t, "v1")
	w.awaitMark("[v1]")
	w.until("streams begin and are not saved", func() bool {
		before, _ := w.savedRecords()
		w.beginStreams()
		time.Sleep(3 * saveInterval)
		after, _ := w.savedRecords()
		return after == before
	})
}

// Guards against streams joined from two software versions where one alone is marked: the target
// that began them has restarted with other software and is not listed anew yet.
func TestStreamOfUnlistedSoftwareIsNotTakenForTheSoleVersion(t *testing.T) {
	w := newRestartEnv(t, "v1")
	w.awaitMark("[v1]")
	listed, restarted := w.runners[0], w.runners[1]
	restarted.Upgrade("v2")
	w.until("the restart is known", func() bool {
		for _, target := range w.node.view.fleet.Targets("lm") {
			if target.ID == restarted.ID {
				_, ok := w.node.view.fleet.ConfirmedBuild(target, false, time.Now())
				return !ok
			}
		}
		return false
	})
	listed.SetFault(runner.Shed)
	w.beginAndAbandon(w.node, streamRequest("begun", 1))
	listed.SetFault(runner.None)
	r := streamRequest("resumed", 1)
	r.Resumes, r.LastEventID = "begun", "2"
	if a := w.exchange(w.node, r); a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "stream_unknown") {
		t.Errorf("status %d: %s", a.status, a.body)
	}
	w.checkContinuations(0)
}

// Guards against a stream that begins at the base version while the store has it as another's.
func TestReplacedAnnouncementIsAwaited(t *testing.T) {
	w := newRestartEnv(t, "v1")
	w.awaitMark("[v1]")
	w.list("v2")
	w.awaitMark("[v1 v2]")
	o := w.node.exchange.origins
	announce := func(build string, replaces bool) (saved <-chan struct{}, ok bool) {
		return o.Announce(1, origin.Origin{Service: "lm", Build: build}, replaces)
	}
	w.until("streams are saved", func() bool { _, ok := announce("v2", false); return ok })
	if saved, _ := announce("v1", false); saved != nil {
		t.Error("a stream of the base version waits")
	}
	saved, _ := announce("v1", true)
	if saved == nil {
		t.Fatal("a record of another version is not replaced before the stream begins")
	}
	<-saved
}
