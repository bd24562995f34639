package runner

import (
	"time"

	"acaciakeel/store"
)

// listEvery is the interval at which entries are checked for changes.
const listEvery = 20 * time.Millisecond

// KeepListed writes the entry of each target whenever it changes, for example after a
// restart, until stop is closed.
func KeepListed(all []*Runner, set func(store.Entry), stop <-chan struct{}) {
	written := map[string]string{}
	for {
		for _, r := range all {
			if e := r.Entry("ready"); written[e.Key] != string(e.Value) {
				written[e.Key] = string(e.Value)
				set(e)
			}
		}
		select {
		case <-time.After(listEvery):
		case <-stop:
			return
		}
	}
}
