package node

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// orderDelay is how long orders of the first holder are on their way: less than the time after
// which they count as lost.
const orderDelay = 700 * time.Millisecond

// slowOrders passes connections on to a target and delays the orders of one holder.
type slowOrders struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	holder   string
	// sent is closed once an order of the holder is on its way.
	sent chan struct{}
}

func startSlowOrders(t *testing.T, to string) *slowOrders {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &slowOrders{listener: l, to: to, sent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *slowOrders) serve(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", s.to)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(client, target)
		client.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := client.Read(buffer)
		if s.isDelayed(buffer[:n]) {
			time.Sleep(orderDelay)
		}
		if _, writeErr := target.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// delay has the orders of a holder delayed.
func (s *slowOrders) delay(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = holder
}

func (s *slowOrders) isDelayed(p []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == "" || !bytes.Contains(p, []byte(`"holder":"`+s.holder+`"`)) {
		return false
	}
	select {
	case <-s.sent:
	default:
		close(s.sent)
	}
	return true
}

// Guards against a planned stop that gives up the leader lock while a load order is on its way: it
// arrives after the next holder's, with a lower fencing token.
func TestStopGivesUpTheLockAfterItsOrders(t *testing.T) {
	var slow *slowOrders
	w := newEnvWith(t, newFailureLog(t), func(w *testEnv) { slow = startSlowOrders(t, w.runners[0].Address()) })
	entry := w.runners[0].EntryAt("ready", slow.listener.Addr().String())
	w.store.Set(entry.Key, entry.Value)
	peer := w.startNode("n1")
	w.until("a node is the leader", func() bool { return w.isLeader(w.node) || w.isLeader(peer) })
	leader, next := w.node, peer
	if w.isLeader(peer) {
		leader, next = peer, w.node
	}
	slow.delay(leader.settings.Name)
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":2}`))
	select {
	case <-slow.sent:
	case <-time.After(waitTimeout):
		t.Fatal("no order was sent")
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		leader.Stop()
	}()
	w.until("the other node leads", func() bool { return w.isLeader(next) })
	w.store.Set("op/version/"+model, []byte(`{"model":"m","version":3}`))
	w.until("the newest weights are loaded", func() bool { return w.runners[0].Weights(model) == 3 })
	<-stopped
	highest := int64(0)
	for _, o := range w.runners[0].OrderArrivals() {
		if o.Fence < highest {
			t.Errorf("an order of %s arrived with fencing token %d after one with %d", o.Holder, o.Fence, highest)
		}
		highest = max(highest, o.Fence)
	}
}
