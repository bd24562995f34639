package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/follow"
	"acaciakeel/platform"
	"acaciakeel/telemetry"
)

// reportStoreHistory logs and counts each time that the platform's store is found to have come back
// from an older copy of its contents, and calls changed, which must not call the store.
func reportStoreHistory(s *platform.Store, r *prometheus.Registry, log logrus.FieldLogger, changed func()) {
	counter := telemetry.NewCounter(r, "keel_node_store_histories_total", "Times that the platform's store was found to have come back from an older copy, by what showed it.", "reason")
	s.OnHistoryChange(func(c platform.HistoryChange) {
		counter.WithLabelValues(string(c.Reason)).Inc()
		log.WithFields(logrus.Fields{"event": "store_history_replaced", "history": c.Number, "reason": c.Reason, "before": c.Before, "revision": c.Revision, "era_before": c.EraBefore, "era": c.Era}).Warn("the store came back from an older copy; nothing that was read of it before counts")
		changed()
	})
}

// followStore sets up the view's follower of the platform's store.
func (n *Node) followStore() {
	watchCounter := telemetry.NewCounter(n.registry, "keel_node_store_watches_total", "Watches of the platform's store, by reason.", "reason")
	listCounter := telemetry.NewCounter(n.registry, "keel_node_store_listings_total", "Listings of all keys of the platform's store, by reason.", "reason")
	following := follow.Options{
		WatchTimeout: watchTimeout, BatchDelay: batchDelay, PeerTimeout: n.view.peerTimeout, Unshared: n.view.isStreamRecord,
		OnWatch: func(r follow.Reason) { watchCounter.WithLabelValues(string(r)).Inc() },
		OnList:  func(r follow.ListReason) { listCounter.WithLabelValues(string(r)).Inc() },
	}
	n.view.follower = follow.New(n.store, platform.AllKeys, following, platform.NewDecoder(n.view), n.log)
	n.view.follower.OnChanges(n.exchange.shareChanges)
	// Conditions of writes are positions of the view, whatever call showed the new history.
	reportStoreHistory(n.store, n.registry, n.log, func() {
		n.view.follower.RequireListing(follow.ListHistoryLost, clock.Now())
	})
	n.session.OnLost(func() { n.view.follower.RequireListing(follow.ListLeaseLost, clock.Now()) })
	// A node whose peers watch for it learns from its own renewals that the store was restarted.
	n.store.OnReconnect(func(openedAt clock.BootTime) {
		n.view.follower.RequireListing(follow.ListReconnected, openedAt)
	})
}
