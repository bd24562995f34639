package door

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
		samples []time.Duration
		want    bool
	}{
		{"quiet", []time.Duration{ms, 0, 3 * ms}, false},
		{"some late", []time.Duration{60 * ms, 0, 0, 0}, false},
		{"processor time limited to a tenth", []time.Duration{88 * ms, 0, 90 * ms}, true},
		{"each late", []time.Duration{40 * ms}, true},
		{"timers that are early", []time.Duration{-time.Second}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l Lateness
			changes := 0
			l.OnChange = func(bool, float64) { changes++ }
			for i := range 4 * latenessSamples {
				l.Record(test.samples[i%len(test.samples)])
			}
			if l.Overloaded() != test.want || changes > 1 {
				t.Errorf("overloaded %v after %d changes, want %v", l.Overloaded(), changes, test.want)
			}
			for range latenessSamples {
				l.Record(0)
			}
			if l.Overloaded() {
				t.Error("it stays overloaded")
			}
		})
	}
	var stopped Lateness
	stopped.Record(10 * time.Second)
	if stopped.Overloaded() {
		t.Error("a process that was stopped once counts as overloaded")
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
