package router

import (
	"math"
	"strconv"

	"github.com/sirupsen/logrus"

	"acaciakeel/catalog"
)

// addLogFields adds what is known of the attempts to the log line of a request.
func (s *session) addLogFields(fields logrus.Fields) {
	fields["service"] = s.in.service.Name
	fields["sends"] = s.attempts
	fields["may_have_run"] = s.executions
	fields["target"] = s.lastChoice.Target.ID
	if s.in.route.Kind == catalog.Stream {
		fields["build"] = s.lastChoice.Target.Build
	}
	if s.in.Model != "" {
		fields["weights"] = s.lastChoice.WeightsVersion
		fields["cached"] = s.lastChoice.CachedTokens
		fields["shared"] = s.lastChoice.SharedTokens
		if levels := s.lastChoice.Chain.Levels; len(levels) > 0 {
			// Requests with the same value share the prompt up to this boundary.
			fields["part"] = strconv.FormatUint(levels[len(levels)-1].Hash, 16)
		}
		fields["fetched"] = s.lastChoice.FetchTokens
		fields["source"] = s.lastChoice.Source
		fields["input"] = s.in.InputTokens
		fields["output"] = s.in.MaxOutputTokens
		fields["expected_ms"] = s.lastChoice.FirstToken.Milliseconds()
		fields["wait_ms"] = s.lastChoice.Wait.Milliseconds()
		if bound := s.in.route.MaxEventGap; bound > 0 {
			fields["pause_bound_ms"] = bound.Milliseconds()
			fields["pause_expected_ms"] = s.lastChoice.ExpectedPause.Milliseconds()
		}
	}
	if pace := s.lastChoice.Pace; pace.Duration > 0 {
		// Both as the choice assumed them, 1 being the usual of the service and of the target.
		fields["speed"] = math.Round(100*pace.Speed()) / 100
		fields["slowdown"] = math.Round(100*pace.Slowdown) / 100
	}
	if s.scarce != nil {
		s.scarce.addLogFields(fields, s.in.customerName())
	}
	s.end.addLogFields(fields)
	if s.status > 0 {
		fields["status"] = s.status
	}
	if s.attempts > 0 {
		fields["sent_ms"] = s.sentAt.Sub(s.in.Received).Milliseconds()
	}
	if s.staleness.atSend > 0 || s.staleness.atFirstEvent > 0 {
		fields["newest"] = s.router.fleet.DesiredVersion(s.in.Model)
		fields["replaced_sent_ms"] = s.staleness.atSend.Milliseconds()
		fields["replaced_first_ms"] = s.staleness.atFirstEvent.Milliseconds()
	}
	if s.shuttingDownFor > 0 {
		fields["leaving_ms"] = s.shuttingDownFor.Milliseconds()
	}
	if s.backoffLeft > 0 {
		fields["rest_left_ms"] = s.backoffLeft.Milliseconds()
	}
	if limit := s.router.fleet.Limit(s.lastChoice.Target.Instance()); limit.Declared {
		fields["limit"] = limit.Rate
	}
	if !s.firstEventAt.IsZero() {
		fields["first_ms"] = s.firstEventAt.Sub(s.in.Received).Milliseconds()
		fields["pause_ms"] = s.longestPause.Milliseconds()
	}
}

func (s *session) logRetry(out attemptResult) {
	fields := logrus.Fields{"event": "retry", "request": s.in.ID, "reason": out.reason, "target": s.lastChoice.Target.ID, "sends": s.attempts, "weights": s.lastChoice.WeightsVersion}
	message := "the target failed the request"
	if out.refused != nil {
		message = out.refused.Message
	}
	s.router.log.WithFields(fields).Info(message)
}
