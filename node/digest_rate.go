package node

import (
	"time"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/peering"
)

// byteDebt is the number of bytes sent beyond a rate.
type byteDebt struct {
	bytes float64
	at    time.Time
}

// reduce reduces the debt by what the rate has allowed since the last call.
func (d *byteDebt) reduce(rate float64, now time.Time) {
	d.bytes = max(0, d.bytes-rate*now.Sub(d.at).Seconds())
	d.at = now
}

// bytesPerSecond returns the rate that digests may take of a link.
func bytesPerSecond(linkMbps float64) float64 {
	return digestLinkShare * linkMbps * 1e6 / 8
}

// linkRate returns the bytes a second that digests on a link may have. Any member may relay on
// all links, so these share its bandwidth equally.
func linkRate(plan peering.Plan, l peering.Link, receivers int) float64 {
	rate := float64(digestRate)
	if plan.SlowLinks {
		rate = min(rate, bytesPerSecond(plan.LinkMbps)/float64(max(1, receivers)), bytesPerSecond(l.RemoteLinkMbps)/float64(max(1, l.RemotePeers)))
	}
	return rate / float64(plan.GroupCount-1)
}

// takeSlowLink reports whether a digest is due on a link whose bandwidth bounds it, and whether
// it holds limits only. The caller holds mu.
func (r *groupRelay) takeSlowLink(due *dueLink, rate float64, now time.Time) bool {
	if now.Sub(r.limitsSentAt[due.group]) < digestInterval {
		return false
	}
	r.limitsSentAt[due.group] = now
	debt := r.sendDebt[due.group]
	if debt == nil {
		debt = &byteDebt{at: now}
		r.sendDebt[due.group] = debt
	}
	debt.reduce(rate, now)
	due.limitsOnly = debt.bytes > 0
	if !due.limitsOnly {
		r.sentAt[due.group] = now
	}
	return true
}

// recordSent counts the bytes of a digest.
func (r *groupRelay) recordSent(l dueLink, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if debt := r.sendDebt[l.group]; debt != nil {
		debt.bytes += float64(bytes)
	}
}

// mayForward reports whether a datagram of a digest is forwarded to the group, and counts its
// bytes. Where links are slow, datagrams without loads, limits and crash reports are dropped
// while the rate is exceeded: a sender sizes its digests for the first relay, and another one
// may have taken over.
func (r *groupRelay) mayForward(plan peering.Plan, message *keelv1.Pulse, size int, now time.Time) bool {
	if !plan.SlowLinks {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := bytesPerSecond(plan.LinkMbps)
	r.forwardDebt.reduce(rate, now)
	required := len(message.Group.Target)+len(message.Suspects) > 0 || message.Limits != nil || message.TargetLimits != nil
	if !required && r.forwardDebt.bytes > rate*forwardBurst.Seconds() {
		return false
	}
	r.forwardDebt.bytes += float64((size + datagramOverhead) * len(plan.Peers))
	return true
}
