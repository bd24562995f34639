package door

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Guards against refusing connections on a quiet day, after the process was stopped, or at a
// single late timer, and against not refusing them while it is short of processor time.
func TestLatenessOfAnOverloadedProcess(t *testing.T) {
	ms := time.Millisecond
	for _, test := range []struct {
		name    string
		samples []Wait
		want    bool
	}{
		{"quiet", []Wait{{Late: ms}, {}, {Late: 3 * ms}}, false},
		{"some late", []Wait{{Late: 60 * ms}, {}, {}, {}}, false},
		{"processor time limited to a tenth", []Wait{{Late: 88 * ms}, {}, {Late: 90 * ms}}, true},
		{"each late", []Wait{{Late: 40 * ms}}, true},
		{"timers that are early", []Wait{{Late: -time.Second}}, false},
		{"bursts of work", []Wait{{Queued: 150 * ms}, {}, {}, {Queued: 20 * ms}}, false},
		{"a long queue", []Wait{{Queued: 80 * ms}}, true},
		{"a queue that empties at times", []Wait{{Queued: 220 * ms}, {}, {Queued: 150 * ms}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l Lateness
			changes := 0
			l.OnChange = func(bool, Load) { changes++ }
			for i := range 4 * latenessSamples {
				l.Record(test.samples[i%len(test.samples)])
			}
			if l.Overloaded() != test.want || changes > 1 {
				t.Errorf("overloaded %v after %d changes, want %v", l.Overloaded(), changes, test.want)
			}
			for range latenessSamples {
				l.Record(Wait{})
			}
			if l.Overloaded() {
				t.Error("it stays overloaded")
			}
		})
	}
	var stopped Lateness
	stopped.Record(Wait{Late: 10 * time.Second, Queued: 10 * time.Second})
	if stopped.Overloaded() {
		t.Error("a process that was stopped once counts as overloaded")
	}
}

// Guards against an overload that is not seen because timers fire in time while goroutines that a
// connection wakes wait for all that are ready.
func TestLatenessIncludesTheQueueOfReadyGoroutines(t *testing.T) {
	// One processor, as on a small VM.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const queued, turn = 200, time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	var busy sync.WaitGroup
	defer busy.Wait()
	defer cancel()
	for range queued {
		busy.Go(func() {
			for ctx.Err() == nil {
				for end := time.Now().Add(turn); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		})
	}
	l := Lateness{OnChange: func(bool, Load) { cancel() }}
	l.Run(ctx)
	if !l.Overloaded() {
		t.Errorf("a process whose goroutines wait %v to run does not count as overloaded", queued*turn)
	}
}

// Guards against an entry that most new connections lead to and that reads more requests than
// it can serve: it closes new connections unread, and serves those that it has.
func TestOverloadedDoorClosesNewConnectionsUnread(t *testing.T) {
	var overloaded atomic.Bool
	var served atomic.Int64
	log := logrus.New()
	log.SetOutput(t.Output())
	server, err := Start("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		fmt.Fprint(w, "ok")
	})}, Telemetry{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	refused := 0
	server.RefuseNew(overloaded.Load, func() { refused++ })
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	get := func(c *http.Client) error {
		resp, err := c.Get("http://" + server.Address())
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	if err := get(kept); err != nil {
		t.Fatal(err)
	}
	overloaded.Store(true)
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		if err := get(fresh); err == nil {
			t.Error("a new connection is served")
		}
		if err := get(kept); err != nil {
			t.Errorf("a kept connection gets %v", err)
		}
	}
	overloaded.Store(false)
	if err := get(fresh); err != nil {
		var opErr *net.OpError
		t.Errorf("after the overload: %v (%v)", err, errors.As(err, &opErr))
	}
	if n := served.Load(); n != 5 || refused < 3 {
		t.Errorf("%d requests were read, want 5; %d connections refused, want 3 and more", n, refused)
	}
}
