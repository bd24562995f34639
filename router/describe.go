package router

import "github.com/sirupsen/logrus"

func (s *session) describe(fields logrus.Fields) {
	fields["service"] = s.in.service.Name
	fields["sends"] = s.sends
	fields["target"] = s.last.Runner.ID
	if s.in.Model != "" {
		fields["weights"] = s.last.Weights
		fields["cached"] = s.last.Cached
		fields["shared"] = s.last.Shared
		fields["source"] = s.last.Source
		fields["input"] = s.in.Input
		fields["output"] = s.in.Output
		fields["expected_ms"] = s.last.FirstToken.Milliseconds()
		fields["wait_ms"] = s.last.Wait.Milliseconds()
	}
	if !s.firstAt.IsZero() {
		fields["first_ms"] = s.firstAt.Sub(s.in.Received).Milliseconds()
		fields["pause_ms"] = s.pause.Milliseconds()
	}
}

func (s *session) logRetry(out result) {
	fields := logrus.Fields{"event": "retry", "request": s.in.ID, "reason": out.reason, "target": s.last.Runner.ID, "sends": s.sends, "weights": s.last.Weights}
	message := "the target failed the request"
	if out.refused != nil {
		message = out.refused.Message
	}
	s.router.log.WithFields(fields).Info(message)
}
