package router

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/refusal"
)

// attemptRecord is what the log says about one attempt: when it was sent, how long its connection
// was open for it, what its response named, on which connection it came and what the entry made of
// it.
type attemptRecord struct {
	target string
	// at is the time from the arrival of the request to the attempt, took that to the attempt's end.
	// Its connection carries nothing of the request after that.
	at, took time.Duration
	// written is the number of bytes sent if no response has arrived.
	written int64
	// answered is set once a response has arrived; the fields below it are then valid.
	answered bool
	status   int
	id       string
	instance string
	conn     ConnUse
	result   string
}

// Results of attempts, beside the reasons of retries.
const (
	// attemptServed: its response was forwarded.
	attemptServed = "served"
	// attemptNotSent: nothing of the request was written to a connection.
	attemptNotSent = "not_sent"
	// attemptRefused: its response was taken for the statement that the request was not run.
	attemptRefused = "refused"
	// attemptAborted: its response could not be forwarded to the client.
	attemptAborted = "aborted"
)

// What the statement that a request has not run rests on; label values of its counter.
const (
	basisNoAttempt = "no_attempt"
	basisNotSent   = "not_sent"
	basisRefused   = "refused"
)

func (s *session) lastRecord() *attemptRecord {
	return &s.records[len(s.records)-1]
}

func (a *attemptRecord) recordResponse(requestID string, resp *Response) {
	a.answered, a.status, a.conn = true, resp.Status, resp.Conn
	a.id, a.instance = resp.namedID(requestID), resp.InstanceID
}

func (a *attemptRecord) recordSendError(err error) {
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		a.written, a.conn = sendErr.Written, sendErr.Conn
	}
}

// countConnUse counts what the connection of the last attempt was used for beside its response.
func (s *session) countConnUse() {
	conn := s.lastRecord().conn
	if conn.Replaces != "" {
		s.router.metrics.replacedConns.WithLabelValues(string(conn.Replaces)).Inc()
	}
	s.router.metrics.surplus.Add(float64(conn.Surplus))
}

func (a *attemptRecord) recordResult(out attemptResult) {
	switch {
	case out.refused == nil && out.response == nil:
		a.result = attemptServed
	case out.refused != nil && out.refused.Outcome == refusal.NotRun && a.answered:
		a.result = attemptRefused
	case out.refused != nil && out.refused.Outcome == refusal.NotRun:
		a.result = attemptNotSent
	case out.reason == "":
		a.result = attemptAborted
	default:
		a.result = string(out.reason)
	}
}

// String implements fmt.Stringer.
func (a *attemptRecord) String() string {
	conn := fmt.Sprintf("conn_earlier=%d conn_age_ms=%d at_ms=%d for_ms=%d", a.conn.Earlier, a.conn.Age.Milliseconds(), a.at.Milliseconds(), a.took.Milliseconds())
	if a.conn.Replaces != "" {
		conn += " conn_replaces=" + string(a.conn.Replaces)
	}
	if a.conn.Surplus > 0 {
		conn += fmt.Sprintf(" conn_surplus=%d", a.conn.Surplus)
	}
	if !a.answered {
		return fmt.Sprintf("%s %s written=%d %s", a.target, a.result, a.written, conn)
	}
	instance := "none"
	switch a.instance {
	case "":
	case a.target:
		instance = idOwn
	default:
		instance = truncate(a.instance)
	}
	return fmt.Sprintf("%s %s status=%d id=%s instance=%s %s", a.target, a.result, a.status, a.id, instance, conn)
}

// addAttempts adds the attempts to the log line of a request.
func (s *session) addAttempts(fields logrus.Fields) {
	if len(s.records) == 0 {
		return
	}
	texts := make([]string, len(s.records))
	for i := range s.records {
		texts[i] = s.records[i].String()
	}
	fields["attempts"] = strings.Join(texts, "; ")
}

// promiseBasis returns what the statement that the request has not run rests on.
func (s *session) promiseBasis() string {
	basis := basisNoAttempt
	for i := range s.records {
		if s.records[i].answered {
			return basisRefused
		}
		basis = basisNotSent
	}
	return basis
}
