package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/platform"
	"acaciakeel/telemetry"
)

// reportStoreHistory logs and counts each time that the platform's store is found to have come back
// from an older copy of its contents.
func reportStoreHistory(s *platform.Store, r *prometheus.Registry, log logrus.FieldLogger) {
	counter := telemetry.NewCounter(r, "keel_node_store_histories_total", "Times that the platform's store was found to have come back from an older copy, by what showed it.", "reason")
	s.OnHistoryChange(func(c platform.HistoryChange) {
		counter.WithLabelValues(string(c.Reason)).Inc()
		log.WithFields(logrus.Fields{"event": "store_history_replaced", "history": c.Number, "reason": c.Reason, "before": c.Before, "revision": c.Revision, "era_before": c.EraBefore, "era": c.Era}).Warn("the store came back from an older copy; nothing that was read of it before counts")
	})
}
