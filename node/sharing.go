package node

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/clock"
	"acaciakeel/policy"
	"acaciakeel/pulses"
	"acaciakeel/sharing"
	"acaciakeel/telemetry"
)

// serving returns the number of nodes that serve. Several starts of one node count once.
func (v *view) serving() int { return int(max(1, v.servingNodes.Load())) }

// demandInterval is how often the demand is sent to the group and to each other group. Rates
// are measured over a second; more often would cost a node in a full group 100 KB/s.
const demandInterval = 300 * time.Millisecond

// addDemand renews the shares of the targets' time and adds this node's demand to an update
// if it is due.
func (p *peerExchange) addDemand(update *pulses.Update, now time.Time) {
	if p.fleet.Disabled(policy.CapacitySharing) {
		return
	}
	p.sharer.Update(now)
	if now.Sub(p.demandSentAt) >= demandInterval {
		update.Demand, p.demandSentAt = p.sharer.Report(now), now
	}
}

// groupDemand returns the demand of this node's group if it is due to be sent to another
// group, otherwise an empty report.
func (p *peerExchange) groupDemand(group int, now time.Time) sharing.Report {
	if p.fleet.Disabled(policy.CapacitySharing) || now.Sub(p.groupDemandSentAt[group]) < demandInterval {
		return sharing.Report{}
	}
	p.groupDemandSentAt[group] = now
	return p.sharer.GroupReport(now)
}

// receiveDemand applies the demand in a datagram.
func (p *peerExchange) receiveDemand(message *keelv1.Pulse, now time.Time) {
	switch {
	case message.Demand == nil:
	case message.Group != nil:
		p.sharer.ApplyGroup(int(message.Group.Group), message.Sender, pulses.DecodeDemand(message.Demand), now)
	default:
		p.sharer.Apply(message.Sender, pulses.DecodeDemand(message.Demand), now)
	}
}

// sharingMetrics are the metrics of the shares of the targets' time.
type sharingMetrics struct{ share *prometheus.GaugeVec }

func newSharingMetrics(r *prometheus.Registry) sharingMetrics {
	return sharingMetrics{share: telemetry.NewGauge(r, "keel_node_target_time", "Target time asked of all entries and admitted, by service and priority class, as a part of what the usable targets have.", "service", "class", "what")}
}

// sharingInterval is how often the shares are published and changes are logged.
const sharingInterval = time.Second

// reportSharing publishes the shares of the targets' time, and logs when more is asked for
// than there is and when that is over.
func (n *Node) reportSharing(ctx context.Context) {
	scarce := map[string]bool{}
	for ctx.Err() == nil {
		clock.Sleep(ctx, sharingInterval)
		now := time.Now()
		n.sharing.share.Reset()
		for _, s := range n.exchange.sharer.Shares(now) {
			class := strconv.Itoa(s.Class)
			n.sharing.share.WithLabelValues(s.Service, class, "asked").Set(s.Asked)
			n.sharing.share.WithLabelValues(s.Service, class, "admitted").Set(s.Admitted)
		}
		for _, s := range n.exchange.sharer.States(now) {
			if s.Scarce == scarce[s.Service] {
				continue
			}
			scarce[s.Service] = s.Scarce
			message := "the demand fits the targets again"
			if s.Scarce {
				message = "more target time is asked for than there is; requests are admitted by priority class and customer"
			}
			n.log.WithFields(logrus.Fields{
				"event": "target_time", "service": s.Service, "scarce": s.Scarce, "targets": s.Targets, "part": s.Part,
				"guaranteed_part": s.Guarantee, "first_class": s.FirstClass, "first_customer": s.FirstCustomer, "oldest_total_ms": s.OldestTotal.Milliseconds(),
			}).Info(message)
		}
	}
}
