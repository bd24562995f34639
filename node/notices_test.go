package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// pressed is how a node's clients press it: each sends its next request after a pause.
type pressed struct {
	node    *Node
	clients int
	pause   time.Duration
}

// press has clients send for a while. A request's id begins with its node's name.
func (w *world) press(path string, length time.Duration, all ...pressed) {
	var done sync.WaitGroup
	end := time.Now().Add(length)
	for _, p := range all {
		for c := range p.clients {
			done.Add(1)
			go func() {
				defer done.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("%s,%d,%d", p.node.settings.Name, c, i)
					header := prompt()
					header["Prefix-Hash"] = fmt.Sprintf("aa:400,b%d:300,c%d-%d:200", i%7, c, i)
					w.sendTo(p.node, "POST", path, "", id, header)
					time.Sleep(p.pause)
				}
			}()
		}
	}
	done.Wait()
}

// senderOf returns the node that a pressed request went to.
func senderOf(id string) string {
	node, _, _ := strings.Cut(id, ",")
	return node
}

// stableWindow is how long after it was named a target's limit binds.
const stableWindow = 3 * time.Second

// Guards against a target that gets more than the limit that it named from the entries
// together, each of which was told.
func TestEntriesTogetherKeepATargetsLimit(t *testing.T) {
	w := newWorld(t)
	all := []pressed{{w.node, 2, 50 * time.Millisecond}, {w.startNode("n1"), 2, 50 * time.Millisecond}, {w.startNode("n2"), 2, 50 * time.Millisecond}}
	limited := w.runners[0]
	limited.NameLimit("1.4", 1.4)
	w.press("/draft/x", stableWindow+6*time.Second, all...)
	for _, broken := range limited.OverLimit(senderOf, stableWindow) {
		t.Fatal(broken)
	}
}
