package node

import (
	"github.com/sirupsen/logrus"

	"acaciakeel/door"
	"acaciakeel/policy"
	"acaciakeel/telemetry"
)

// refuseWhileOverloaded has new connections closed unread while this node gets too little
// processor time, unless no other node is known. The platform may lead most new connections to
// one node; a client whose request was not read reaches another one at its next attempt.
func (n *Node) refuseWhileOverloaded() {
	refused := telemetry.NewCounter(n.registry, "keel_node_connections_refused_total", "New connections closed unread because the process gets too little processor time.").WithLabelValues()
	late := telemetry.NewGauge(n.registry, "keel_node_overloaded", "1 while the process gets too little processor time.").WithLabelValues()
	n.lateness.OnChange = func(overloaded bool, load door.Load) {
		late.Set(0)
		message := "the process gets enough processor time again"
		if overloaded {
			late.Set(1)
			message = "the process gets too little processor time; new connections are closed unread"
		}
		n.log.WithFields(logrus.Fields{"event": "overloaded", "active": overloaded, "late_share": load.Share, "queued_ms": load.Queued.Milliseconds()}).Warn(message)
	}
	if n.options.Disabled[policy.ConnectionRefusal] {
		return
	}
	n.servers.front.RefuseNew(func() bool { return n.lateness.Overloaded() && n.knowsPeers() }, refused.Inc)
}

// knowsPeers reports whether another node may take what this one refuses.
func (n *Node) knowsPeers() bool {
	plan := n.view.plan()
	return len(plan.Peers) > 0 || plan.GroupCount > 1
}
