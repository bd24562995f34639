package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"acaciakeel/fleet"
	"acaciakeel/internal/standin/client"
	"acaciakeel/internal/standin/runner"
	"acaciakeel/peering"
	"acaciakeel/platform"
)

// builds are the software versions of the runners of a versioned environment, in their order.
var builds = []string{"v1", "v1.1", "v1", "v1.1"}

// newVersionEnv returns an environment with two runners of each of two software versions.
func newVersionEnv(t *testing.T) *testEnv {
	t.Helper()
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		for i := len(w.runners); i < len(builds); i++ {
			w.runners = append(w.runners, runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
		}
		for i, r := range w.runners {
			r.SetBuild(builds[i])
			r.SetPace(20 * time.Millisecond)
		}
	})
	w.until("all runners are known", func() bool { return len(w.node.view.fleet.Targets("lm")) == len(builds) })
	return w
}

// startPeer starts a further node and waits until it and the first one are peers.
func (w *testEnv) startPeer(name string) *Node {
	n := w.startNode(name)
	w.until("the nodes are peers", func() bool { return len(n.view.plan().Peers) > 0 && len(w.node.view.plan().Peers) > 0 })
	return n
}

// streamRequest returns the i-th stream of a test; each has a prompt of its own, so that the
// streams are spread over the runners.
func streamRequest(id string, i int) client.Request {
	return client.Request{
		Method: http.MethodPost, Host: "h.example", Path: "/draft/x", ID: id, Key: goodKey, Deadline: 5 * time.Second,
		Prompt: &client.Prompt{Model: model, Input: 900, Output: 50, Parts: fmt.Sprintf("a%d:400,b%d:300,c%d:200", i, i, i)},
	}
}

// exchange sends a request and returns its response.
func (w *testEnv) exchange(n *Node, r client.Request) response {
	w.t.Helper()
	req, err := r.To(n.FrontAddress())
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// beginAndAbandon sends a request, reads two events, closes the connection, and returns what was
// read.
func (w *testEnv) beginAndAbandon(n *Node, r client.Request) string {
	w.t.Helper()
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	req, err := r.To(n.FrontAddress())
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	var read strings.Builder
	for ends := 0; ends < 2; {
		line, err := in.ReadString('\n')
		if err != nil {
			w.t.Fatalf("stream %s ended early with status %d: %v", r.ID, resp.StatusCode, err)
		}
		read.WriteString(line)
		if line == "\n" {
			ends++
		}
	}
	return read.String()
}

// restOfStream is what a stream brings after its second event.
func restOfStream() string {
	_, rest, _ := strings.Cut(completeStream(), "piece 2\n\n")
	return rest
}

// checkContinuations fails for streams that continued at another version, and unless as many
// streams as expected were continued.
func (w *testEnv) checkContinuations(want int) {
	w.t.Helper()
	c := runner.JudgeContinuations(w.runners)
	for _, violation := range c.OtherBuild {
		w.t.Error(violation)
	}
	if c.Continued != want {
		w.t.Errorf("%d streams were continued, want %d", c.Continued, want)
	}
}

// streamCount is how many streams each case plays: enough that targets chosen at random would
// all be of the right version once in 4,000 runs.
const streamCount = 12

// Guards against streams that hold events of two software versions: a stream whose target
// breaks off is continued at any other target of the service.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	w := newVersionEnv(t)
	for _, r := range w.runners {
		r.SetFault(runner.Broken)
	}
	for i := range streamCount {
		a := w.exchange(w.node, streamRequest(fmt.Sprintf("broken-%d", i), i))
		if a.err != nil || a.status != http.StatusOK || a.body != completeStream() {
			t.Errorf("stream %d: status %d, error %v: %s", i, a.status, a.err, a.body)
		}
	}
	w.checkContinuations(streamCount)
}

// Guards against streams that clients resume and that then hold events of two software
// versions, wherever the client resumes them.
func TestResumedStreamContinuesAtItsVersion(t *testing.T) {
	for _, test := range []struct {
		name string
		// resumeAt returns the node at which the streams are resumed.
		resumeAt func(w *testEnv, peer *Node) *Node
	}{
		{"same entry", func(w *testEnv, _ *Node) *Node { return w.node }},
		{"other entry", func(_ *testEnv, peer *Node) *Node { return peer }},
		{"other entry after a crash", func(w *testEnv, peer *Node) *Node {
			w.node.cancel()
			return peer
		}},
		{"restarted entry", func(w *testEnv, _ *Node) *Node {
			w.node.cancel()
			return w.startPeer("n0")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newVersionEnv(t)
			peer := w.startPeer("n1")
			for i := range streamCount {
				w.beginAndAbandon(w.node, streamRequest(fmt.Sprintf("begun-%d", i), i))
			}
			// The last streams' origins reach the peers with the next update.
			time.Sleep(4 * minUpdateInterval)
			at := test.resumeAt(w, peer)
			for i := range streamCount {
				r := streamRequest(fmt.Sprintf("resumed-%d", i), i)
				r.Resumes, r.LastEventID = fmt.Sprintf("begun-%d", i), "2"
				a := w.exchange(at, r)
				if a.err != nil || a.status != http.StatusOK || a.body != restOfStream() {
					t.Errorf("stream %d: status %d, error %v: %s", i, a.status, a.err, a.body)
				}
			}
			w.checkContinuations(streamCount)
		})
	}
}

// Guards against streams continued at another version because it is not known which one began
// them, or because none of its targets is left: both are refused at once, as not run.
func TestStreamIsRefusedWithoutItsVersion(t *testing.T) {
	refused := func(t *testing.T, a response, kind string) {
		t.Helper()
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || !strings.Contains(a.body, kind) || !strings.Contains(a.body, `"not_run"`) {
			t.Errorf("status %d, Retry-After %q, want a refusal of kind %s: %s", a.status, a.header.Get("Retry-After"), kind, a.body)
		}
	}
	resume := func(w *testEnv, stream, id string) response {
		r := streamRequest(id, 1)
		r.Resumes, r.LastEventID = stream, "2"
		return w.exchange(w.node, r)
	}
	t.Run("unknown stream", func(t *testing.T) {
		w := newVersionEnv(t)
		w.startPeer("n1")
		refused(t, resume(w, "never-begun", "resumes-unknown"), "stream_unknown")
	})
	t.Run("no stream named", func(t *testing.T) {
		w := newVersionEnv(t)
		refused(t, resume(w, "", "resumes-nothing"), "stream_unknown")
	})
	t.Run("itself", func(t *testing.T) {
		w := newVersionEnv(t)
		refused(t, resume(w, "resumes-itself", "resumes-itself"), "stream_unknown")
	})
	t.Run("long name", func(t *testing.T) {
		w := newVersionEnv(t)
		refused(t, resume(w, strings.Repeat("x", 1000), "resumes-long"), "stream_unknown")
	})
	t.Run("version gone", func(t *testing.T) {
		w := newVersionEnv(t)
		w.beginAndAbandon(w.node, streamRequest("begun", 1))
		began := w.executed(w.runners)[0].Build
		for i, r := range w.runners {
			if builds[i] == began {
				w.store.Remove(platform.TargetKey(r.ID))
			}
		}
		w.until("the version is gone", func() bool { return len(w.node.view.fleet.Targets("lm")) == len(builds)/2 })
		refused(t, resume(w, "begun", "resumes-gone"), "stream_version_gone")
	})
}

// Guards against streams refused in doubt where one version alone has served: they go on,
// whoever began them.
func TestUnknownStreamIsServedWhereOneVersionServes(t *testing.T) {
	w := newEnv(t)
	w.awaitMark("[]")
	r := streamRequest("resumes-unknown", 1)
	r.Resumes, r.LastEventID = "begun-elsewhere", "2"
	if a := w.exchange(w.node, r); a.status != http.StatusOK || a.body != restOfStream() {
		t.Errorf("status %d: %s", a.status, a.body)
	}
}

// Guards against streams of a version without targets that are continued at the one that is left
// after all entries were killed: then nobody has seen that there were two.
func TestUnknownStreamIsRefusedAfterAllEntriesRestarted(t *testing.T) {
	w := newVersionEnv(t)
	w.awaitMark("[v1 v1.1]")
	w.node.cancel()
	for i, r := range w.runners {
		if builds[i] == "v1" {
			w.store.Remove(platform.TargetKey(r.ID))
		}
	}
	w.node = w.startNode("n0")
	if got := w.node.view.fleet.Builds("lm", time.Now()); len(got) != 1 {
		t.Fatalf("the restarted entry sees the versions %v, want one", got)
	}
	r := streamRequest("resumed", 1)
	r.Resumes, r.LastEventID = "begun-unseen", "2"
	if a := w.exchange(w.node, r); a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "stream_unknown") {
		t.Errorf("status %d: %s", a.status, a.body)
	}
}

// Guards against marks that outlast their versions, and so against streams refused in doubt for
// ever, against marks that are removed while clients may still resume, and against a service whose
// only version is not marked, so that it can't be told later what began its streams.
func TestVersionMarkLastsAsLongAsDoubt(t *testing.T) {
	v, f := newIdleView()
	now := time.Now()
	if _, due := v.dueMarkChange("lm", now); due {
		t.Error("a mark is due for a service without targets")
	}
	f.Put(fleet.Target{ID: "a", Service: "lm", Build: "v2"})
	if c, due := v.dueMarkChange("lm", now); !due || fmt.Sprint(c.builds) != "[v2]" {
		t.Errorf("change %+v due %v, want a mark of the only version", c, due)
	}
	v.setVersionMark("lm", `{"builds":["v2"]}`, 6)
	if build, ok := v.soleMarked("lm"); !ok || build != "v2" {
		t.Errorf("the sole version is %q %v, want v2", build, ok)
	}
	f.Put(fleet.Target{ID: "b", Service: "lm", Build: "v1"})
	c, due := v.dueMarkChange("lm", now)
	if !due || fmt.Sprint(c.builds) != "[v2 v1]" || !c.hasBase || c.base != "v2" {
		t.Errorf("change %+v due %v, want a mark of both versions, v2 the base", c, due)
	}
	v.setVersionMark("lm", `{"builds":["v2","v1"],"base":"v2"}`, 7)
	v.setVersionMark("lm", `{"builds":["v2"]}`, 6)
	if base, ok := v.markedBase("lm"); !ok || base != "v2" {
		t.Errorf("the base version is %q %v, want v2", base, ok)
	}
	if _, due := v.dueMarkChange("lm", now); due {
		t.Error("the mark is written twice")
	}
	f.Remove("b")
	gone := now.Add(versionMarkRetention + time.Second)
	_, sole := v.soleMarked("lm")
	if _, due := v.dueMarkChange("lm", gone); due || sole {
		t.Error("the mark does not outlast the last target of a version")
	}
	if c, due := v.dueMarkChange("lm", gone.Add(versionMarkRetention)); !due || fmt.Sprint(c.builds) != "[v2]" || c.revision != 7 {
		t.Errorf("change %+v due %v, want the mark of revision 7 without v1", c, due)
	}
	v.setVersionMark("lm", "no list", 8)
	if _, ok := v.soleMarked("lm"); ok {
		t.Error("a mark that can't be read counts as one of a single version")
	}
	if _, due := v.dueMarkChange("lm", gone); due {
		t.Error("a mark that can't be read is replaced at once, and with it the versions that it named")
	}
	if c, due := v.dueMarkChange("lm", gone.Add(versionMarkRetention)); !due || fmt.Sprint(c.builds) != "[v2]" || c.revision != 8 {
		t.Errorf("change %+v due %v, want the mark of revision 8 replaced", c, due)
	}
}

// Guards against streams that begin at a version before it is marked, or before all nodes know
// that, and against a service whose few targets of marked versions get all its streams for long.
func TestStreamsBeginAtMarkedVersions(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets map[string]int
		marked  string
		after   time.Duration
		want    []string
	}{
		{"one version, not marked", map[string]int{"v1": 3}, "", 0, nil},
		{"two versions, none marked", map[string]int{"v1": 3, "v2": 1}, "", 0, nil},
		{"one of two marked", map[string]int{"v1": 3, "v2": 1}, `{"builds":["v1"]}`, time.Hour, []string{"v1"}},
		{"one of two marked, with half of the targets", map[string]int{"v1": 2, "v2": 2}, `{"builds":["v1"]}`, time.Hour, []string{"v1"}},
		{"one of two marked, with few targets", map[string]int{"v1": 1, "v2": 3}, `{"builds":["v1"]}`, time.Hour, []string{"v1"}},
		{"one of two marked, without targets", map[string]int{"v1": 0, "v2": 3}, `{"builds":["v1"]}`, time.Hour, []string{"v1"}},
		{"one version, another one marked", map[string]int{"v2": 3}, `{"builds":["v1"]}`, time.Hour, []string{"v1"}},
		{"both marked, one just now", map[string]int{"v1": 3, "v2": 1}, `{"builds":["v1","v2"]}`, 0, []string{"v1"}},
		{"both marked, the one with most targets just now", map[string]int{"v1": 1, "v2": 3}, `{"builds":["v1","v2"]}`, 0, []string{"v1", "v2"}},
		{"both marked for a while", map[string]int{"v1": 3, "v2": 1}, `{"builds":["v1","v2"]}`, viewFreshFor, []string{"v1", "v2"}},
		{"a mark that can't be read", map[string]int{"v1": 3, "v2": 1}, "no list", time.Hour, nil},
	} {
		v, f := newIdleView()
		for build, ready := range test.targets {
			for i := range max(1, ready) {
				f.Put(fleet.Target{ID: fmt.Sprint(build, i), Service: "lm", Build: build, Draining: ready == 0})
			}
		}
		v.setVersionMark("lm", `{"builds":["v1"]}`, 6)
		v.versionMarks["lm"].seenAt["v1"] = time.Time{}
		if test.marked == "" {
			v.setVersionMark("lm", "", 7)
		} else {
			v.setVersionMark("lm", test.marked, 7)
		}
		if got := v.beginAt("lm", true, time.Now().Add(test.after)); !slices.Equal(got, test.want) {
			t.Errorf("%s: streams begin at %v, want %v", test.name, got, test.want)
		}
	}
	v, f := newIdleView()
	f.Put(fleet.Target{ID: "a", Service: "lm", Build: "v1"})
	f.Put(fleet.Target{ID: "b", Service: "lm", Build: "v2"})
	v.setVersionMark("lm", `{"builds":["v1","v2"],"base":"v1"}`, 6)
	if got := v.beginAt("lm", false, time.Now().Add(time.Hour)); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("while nothing can be saved, streams begin at %v, want the base version", got)
	}
}

// Guards against questions that leave out a group in which a stream may have begun.
func TestAskPlanReachesEachGroup(t *testing.T) {
	member := func(i int) peering.Member {
		return peering.Member{Key: fmt.Sprintf("n%03d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	for _, n := range []int{1, 3, 9, 25, 103} {
		var members []peering.Member
		for i := range n {
			members = append(members, member(i))
		}
		plan := peering.New("n000", members)
		asked := newAskPlan(plan)
		if most := 2 * (askedPeers + plan.GroupCount); n-1 > maxAskedAlone && len(asked.again) > most {
			t.Errorf("%d members: %d are asked, at most %d should be", n, len(asked.again), most)
		}
		if asked.everyone != (n-1 <= maxAskedAlone) {
			t.Errorf("%d members: everyone is %v", n, asked.everyone)
		}
		for _, l := range plan.Links {
			if !slices.ContainsFunc(asked.first, func(a string) bool { return slices.Contains(l.RemoteAddresses, a) }) {
				t.Errorf("%d members: nobody of group %d is asked", n, l.Group)
			}
		}
	}
}

// Guards against a stream that goes on at another service, to which its route was moved, and then
// holds events of two software versions of that one: its origin is not known any more.
func TestStreamOfAMovedRouteIsBoundToItsNewService(t *testing.T) {
	w := newVersionEnv(t)
	w.beginAndAbandon(w.node, streamRequest("begun", 1))
	for i := range 2 {
		r := runner.Start(fmt.Sprintf("m%d", i), "lm2", map[string]int64{model: 1})
		r.SetBuild(builds[i])
		r.SetPace(20 * time.Millisecond)
		t.Cleanup(r.Close)
		w.runners = append(w.runners, r)
	}
	w.streamService = "lm2"
	w.configure(goodKey)
	for _, r := range w.runners[len(builds):] {
		w.store.Set(r.Entry("ready").Key, r.Entry("ready").Value)
	}
	w.until("the route is moved", func() bool {
		c := w.node.view.Config()
		return c.Version == int64(w.version) && len(w.node.view.fleet.Targets("lm2")) == 2
	})
	resume := func(id, last string) response {
		r := streamRequest(id, 1)
		r.Resumes, r.LastEventID = "begun", last
		return w.exchange(w.node, r)
	}
	if a := resume("moved", "2"); a.status != http.StatusOK || a.body != restOfStream() {
		t.Errorf("at the new service: status %d: %s", a.status, a.body)
	}
	if a := resume("moved-again", "3"); a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, "stream_unknown") {
		t.Errorf("after that: status %d: %s", a.status, a.body)
	}
}
