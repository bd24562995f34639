package router

import (
	"strconv"

	"github.com/sirupsen/logrus"
)

func (s *session) describe(fields logrus.Fields) {
	fields["service"] = s.in.service.Name
	fields["sends"] = s.sends
	fields["target"] = s.last.Target.ID
	if s.in.Model != "" {
		fields["weights"] = s.last.WeightsVersion
		fields["cached"] = s.last.CachedTokens
		fields["shared"] = s.last.SharedTokens
		if levels := s.last.Chain.Levels; len(levels) > 0 {
			// Requests with the same value share their prompt up to here.
			fields["part"] = strconv.FormatUint(levels[len(levels)-1].Hash, 16)
		}
		fields["fetched"] = s.last.FetchTokens
		fields["source"] = s.last.Source
		fields["input"] = s.in.InputTokens
		fields["output"] = s.in.MaxOutputTokens
		fields["expected_ms"] = s.last.FirstToken.Milliseconds()
		fields["wait_ms"] = s.last.Wait.Milliseconds()
	}
	if s.status > 0 {
		fields["status"] = s.status
	}
	if s.sends > 0 {
		fields["sent_ms"] = s.sentAt.Sub(s.in.Received).Milliseconds()
	}
	if s.replaced.sent > 0 || s.replaced.first > 0 {
		fields["newest"] = s.router.fleet.DesiredVersion(s.in.Model)
		fields["replaced_sent_ms"] = s.replaced.sent.Milliseconds()
		fields["replaced_first_ms"] = s.replaced.first.Milliseconds()
	}
	if s.leaving > 0 {
		fields["leaving_ms"] = s.leaving.Milliseconds()
	}
	if s.rest > 0 {
		fields["rest_left_ms"] = s.rest.Milliseconds()
	}
	if limit := s.router.fleet.Limit(s.last.Target.Instance()); limit.Declared {
		fields["limit"] = limit.Rate
	}
	if !s.firstAt.IsZero() {
		fields["first_ms"] = s.firstAt.Sub(s.in.Received).Milliseconds()
		fields["pause_ms"] = s.pause.Milliseconds()
	}
}

func (s *session) logRetry(out result) {
	fields := logrus.Fields{"event": "retry", "request": s.in.ID, "reason": out.reason, "target": s.last.Target.ID, "sends": s.sends, "weights": s.last.WeightsVersion}
	message := "the target failed the request"
	if out.refused != nil {
		message = out.refused.Message
	}
	s.router.log.WithFields(fields).Info(message)
}
