package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// change makes one change of the operator or of a target.
func (w *testEnv) change() {
	all := slices.Concat(w.runners, w.plainTargets)
	target := all[rand.IntN(len(all))]
	switch rand.IntN(6) {
	case 0:
		// The key of all clients is taken away for a moment.
		w.configure(otherKey)
		time.Sleep(rand.N(20 * time.Millisecond))
		w.configure(goodKey, otherKey)
	case 1:
		w.configure(goodKey, otherKey)
	case 2:
		w.store.Set("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, w.nextWeights()))
	case 3:
		e := target.Entry("draining")
		w.store.Set(e.Key, e.Value)
		time.Sleep(rand.N(20 * time.Millisecond))
		e = target.Entry("ready")
		w.store.Set(e.Key, e.Value)
	case 4:
		target.Reborn()
		e := target.Entry("ready")
		w.store.Set(e.Key, e.Value)
	case 5:
		e := target.Entry("ready")
		w.store.Remove(e.Key)
		time.Sleep(rand.N(20 * time.Millisecond))
		w.store.Set(e.Key, e.Value)
	}
}

// nextWeights returns a version of the weights that has not been named.
func (w *testEnv) nextWeights() int64 {
	newest := int64(0)
	for _, r := range w.runners {
		newest = max(newest, r.Weights(model))
	}
	return newest + 1
}

// Guards against an entry's own refusal that says "not run" of a request which a target has: keys,
// routes, weights and targets change while it is under way, and the entry stops.
func TestPromisesHoldBesideChanges(t *testing.T) {
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) {
		w.graceS = 4
		w.versionMS = 1000
		for i := len(w.runners); i < 6; i++ {
			w.runners = append(w.runners, runner.Start(fmt.Sprintf("r%d", i), "lm", map[string]int64{model: 1}))
			w.plainTargets = append(w.plainTargets, runner.Start(fmt.Sprintf("d%d", i), "desk", nil))
		}
	})
	for _, r := range w.runners {
		r.SetPace(5 * time.Millisecond)
		r.SetLoading(50*time.Millisecond, 8)
	}
	for _, d := range w.plainTargets {
		d.SetRoom(4, 15*time.Millisecond)
		d.SendLate(5)
	}
	n := w.startNode("n1")
	l := &onceLoad{w: w, node: n, told: map[string]int{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(rand.N(20 * time.Millisecond)):
				w.change()
			}
		}
	})
	served := l.run(32, stop, []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond, time.Second})
	time.Sleep(2 * time.Second)
	go func() { n.Stop(); close(stopped) }()
	<-stopped
	close(stop)
	changes.Wait()
	served()
	l.check()
}
