package node

import (
	"net/http"
	"testing"
	"time"

	"acaciakeel/internal/standin/runner"
)

// misdirectedFor is how long calls get foreign responses: several are made meanwhile.
const misdirectedFor = 1500 * time.Millisecond

// Guards against targets that are used no more because a call of the entry met a refusal of another
// target: responses to calls don't name what they answer.
func TestMisdirectedCallEndsNoTarget(t *testing.T) {
	w := newEnv(t)
	all := append(append([]*runner.Runner{}, w.runners...), w.plainTargets...)
	for _, r := range all {
		r.MisdirectCalls(true)
	}
	// A new version has the leader ask each engine for its report.
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	time.Sleep(misdirectedFor)
	for _, r := range all {
		r.MisdirectCalls(false)
	}
	w.until("the engines have the new weights", func() bool {
		for _, r := range w.runners {
			if r.Weights(model) != 2 {
				return false
			}
		}
		return true
	})
	w.until("requests are served", func() bool {
		return w.send("POST", "/draft/x", "", promptHeaders()).status == http.StatusOK && w.send("GET", "/stock/x", "", nil).status == http.StatusOK
	})
}
