package node

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
	"acaciakeel/store"
	"acaciakeel/telemetry"
)

// membership is the state of the node's own entry among the members in the store. A node
// that is no member is ignored by the others: they send it no updates, and leave it out when
// they divide customers' limits, of which it admits its part all the same.
type membership struct {
	metrics membershipMetrics

	mu sync.Mutex
	// lease is the lease that the entry is attached to, and revision the entry's; 0 if the
	// node does not know that it is registered.
	lease    store.LeaseID
	revision store.Position
	// failing is set while registrations fail, which is logged once.
	failing bool
	// left is set once the node has begun to leave.
	left bool
}

// registrationReason is why the node registers. It is the label of the counter of
// registrations.
type registrationReason string

const (
	notDue registrationReason = ""
	// newLease: the entry ended with the previous lease.
	newLease registrationReason = "new_lease"
	// unconfirmed: the last registration failed, or its response was lost.
	unconfirmed registrationReason = "unconfirmed"
	// entryGone: another writer removed or replaced the entry.
	entryGone registrationReason = "entry_gone"
)

type membershipMetrics struct {
	registrations *prometheus.CounterVec
}

func newMembershipMetrics(r *prometheus.Registry) membershipMetrics {
	return membershipMetrics{registrations: telemetry.NewCounter(r, "keel_node_registrations_total", "Registrations among the members, by reason.", "reason")}
}

// membershipInterval is how often the node checks whether it is registered.
const membershipInterval = time.Second

// maintainMembership registers the node again whenever its entry is missing. The lease alone
// would not do: it may be renewed for days.
func (n *Node) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, membershipInterval)
		if !n.view.follower.Disconnected() {
			n.register(ctx)
		}
	}
}

// register writes the node's entry among the members if that is due.
func (n *Node) register(ctx context.Context) {
	seen := n.view.selfState()
	m := &n.membership
	m.mu.Lock()
	defer m.mu.Unlock()
	lease := n.session.ID()
	reason := m.registrationReason(lease, seen)
	if reason == notDue {
		return
	}
	m.metrics.registrations.WithLabelValues(string(reason)).Inc()
	revision, err := n.writeMember(ctx, lease, reason == newLease)
	m.lease, m.revision = lease, revision
	if err != nil && ctx.Err() == nil && !m.failing {
		n.log.WithError(err).WithFields(logrus.Fields{"event": "enrol_failed", "reason": reason}).Warn("could not register among the members; the other nodes ignore this node until a later attempt succeeds")
	}
	if err == nil && (m.failing || reason == entryGone) {
		n.log.WithFields(logrus.Fields{"event": "enrolled", "reason": reason, "revision": revision}).Info("registered among the members again")
	}
	m.failing = err != nil
}

// registrationReason returns why the entry has to be written now; the caller holds mu.
func (m *membership) registrationReason(lease store.LeaseID, seen selfState) registrationReason {
	switch {
	case m.left || lease == "":
		return notDue
	case lease != m.lease:
		return newLease
	case m.revision == 0:
		return unconfirmed
	case !seen.member && seen.revision >= m.revision:
		return entryGone
	}
	return notDue
}

// selfState is whether the node's entry was among the members at a revision of the store.
type selfState struct {
	member   bool
	revision store.Position
}

// selfState returns the latest known state of the node's entry. The revision is read first,
// since changes are applied before the revision advances.
func (v *view) selfState() selfState {
	s := selfState{revision: v.follower.Revision()}
	v.mu.Lock()
	defer v.mu.Unlock()
	_, s.member = v.members[v.self]
	return s
}

// writeMember writes the node's entry and returns its revision. The key has the name of this
// start of the node: an entry there is either the node's own, of a write whose response was
// lost, or that of another writer, or one of the node's former leases, which are replaced.
func (n *Node) writeMember(ctx context.Context, lease store.LeaseID, isNewLease bool) (store.Position, error) {
	value := encodeMember(n.exchange.address(), n.settings.Zone, n.settings.Limits.LinkMbps)
	revision, err := n.store.Put(ctx, n.view.self, value, 0, lease)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Revision == 0 {
		return revision, err
	}
	if bytes.Equal(conflict.Current.Value, value) && !isNewLease {
		return conflict.Current.Revision, nil
	}
	return n.store.Put(ctx, n.view.self, value, conflict.Current.Revision, lease)
}

// deregister deletes the node's entry among the members.
func (n *Node) deregister(ctx context.Context) error {
	n.membership.mu.Lock()
	defer n.membership.mu.Unlock()
	n.membership.left = true
	if n.membership.revision == 0 {
		return nil
	}
	_, err := n.store.Delete(ctx, n.view.self, n.membership.revision)
	return err
}
