package router

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"acaciakeel/fleet"
	"acaciakeel/poison"
)

// fakeProber is a Sender that only implements Probe, with the given results in order.
type fakeProber struct {
	Sender
	results []ProbeResult
	count   atomic.Int32
}

func (p *fakeProber) Probe(context.Context, fleet.Target) ProbeResult {
	n := int(p.count.Add(1))
	return p.results[min(n, len(p.results))-1]
}

// Guards against one probe per request: a target that crashes under full load breaks off all its
// requests at once (sixteen here), each of which would open a connection to it.
func TestOneProbeForAllRequestsOfATarget(t *testing.T) {
	prober := &fakeProber{results: []ProbeResult{Listening, NotListening}}
	log, hook := logtest.NewNullLogger()
	detector := newCrashDetector(prober, fleet.New(""), poison.New(nil), log)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() { <-detector.probe(fleet.Target{ID: "r", Born: 7}) })
	}
	wg.Wait()
	time.Sleep(2 * reprobeDelay)
	if n := prober.count.Load(); n != 2 {
		t.Errorf("the target was probed %d times, want 2", n)
	}
	last := hook.LastEntry()
	if last == nil || last.Data["presence"] != NotListening || last.Level != logrus.InfoLevel {
		t.Errorf("last log entry is %v, want an info entry with the result of the second probe", last)
	}
}

func TestCausedByPeer(t *testing.T) {
	for _, test := range []struct {
		err  error
		want bool
	}{
		{io.ErrUnexpectedEOF, true},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, true},
		{context.Canceled, false},
		{errors.Join(errors.New("read"), context.DeadlineExceeded), false},
		{&net.OpError{Op: "read", Err: timeout{}}, false},
	} {
		if got := causedByPeer(test.err); got != test.want {
			t.Errorf("%v: %v", test.err, got)
		}
	}
}

type timeout struct{}

func (timeout) Error() string   { return "timeout" }
func (timeout) Timeout() bool   { return true }
func (timeout) Temporary() bool { return true }
