package runner

import (
	"time"

	"acaciakeel/store"
)

// listEvery is how often targets look whether their entries have changed.
const listEvery = 20 * time.Millisecond

// KeepListed writes the entries of targets as they change, such as when one starts again,
// until stop is closed.
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
