package router

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"

	"acaciakeel/refusal"
)

// attemptRecord is what the log says about one attempt: what its response named, on which
// connection it came and what the entry made of it.
type attemptRecord struct {
	target string
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
	if !a.answered {
		return fmt.Sprintf("%s %s", a.target, a.result)
	}
	instance := "none"
	switch a.instance {
	case "":
	case a.target:
		instance = idOwn
	default:
		instance = truncate(a.instance)
	}
	return fmt.Sprintf("%s %s status=%d id=%s instance=%s conn_earlier=%d conn_age_ms=%d", a.target, a.result, a.status, a.id, instance, a.conn.Earlier, a.conn.Age.Milliseconds())
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
