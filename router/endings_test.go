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

// listener is a sender that only says whether targets listen.
type listener struct {
	Sender
	says  []ProbeResult
	asked atomic.Int32
}

func (l *listener) Probe(context.Context, fleet.Target) ProbeResult {
	n := int(l.asked.Add(1))
	return l.says[min(n, len(l.says))-1]
}

// A target ends with sixteen requests of one entry. All of them want to know whether it
// has ended: one question has to do, or a crash at full load costs as many connections
// as there are requests.
func TestOneQuestionForAllRequestsOfATarget(t *testing.T) {
	says := &listener{says: []ProbeResult{Listening, NotListening}}
	log, lines := logtest.NewNullLogger()
	e := newEndings(says, fleet.New(""), poison.New(nil), log)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() { <-e.ask(fleet.Target{ID: "r", Born: 7}) })
	}
	wg.Wait()
	time.Sleep(2 * askAgain)
	if n := says.asked.Load(); n != 2 {
		t.Errorf("the target was asked %d times", n)
	}
	last := lines.LastEntry()
	if last == nil || last.Data["presence"] != NotListening || last.Level != logrus.InfoLevel {
		t.Errorf("the line is %v", last)
	}
}

func TestByPeer(t *testing.T) {
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
		if got := byPeer(test.err); got != test.want {
			t.Errorf("%v: %v", test.err, got)
		}
	}
}

type timeout struct{}

func (timeout) Error() string   { return "timeout" }
func (timeout) Timeout() bool   { return true }
func (timeout) Temporary() bool { return true }
