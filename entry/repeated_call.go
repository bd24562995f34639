package entry

import (
	"acaciakeel/ledger"
	"acaciakeel/refusal"
)

// refusalOfCall returns a refusal of this send as the outcome of the call. An earlier send with the
// client's key may have run, also through another entry.
func (p *pendingCall) refusalOfCall(refused *refusal.Error) *refusal.Error {
	if p.request.Idempotent || p.request.FreshKey || refused.Outcome != refusal.NotRun || p.coversEarlierSends(refused) {
		return refused
	}
	unknown := *refused
	unknown.Outcome = refusal.Unknown
	return &unknown
}

// coversEarlierSends reports whether a refusal holds for all sends with the key: it is that of an agent
// which knows the key, or which is the only one that may run the call and has checked the key's age.
func (p *pendingCall) coversEarlierSends(refused *refusal.Error) bool {
	if refused != p.agentRefusal {
		return false
	}
	switch refused.Kind {
	case refusal.KeyReused, refusal.PlatformDown:
		return true
	case refusal.QueueFull, refusal.LedgerFull, refusal.Stopping, refusal.TargetFailed:
		return p.requiresHomeTarget()
	}
	return false
}

// requiresHomeTarget reports whether only the home target of the key, the first in
// rank, may run the call. While the platform's service is down, the home target runs
// keys that contain a timestamp without a claim, so other agents can't know of the
// run.
func (p *pendingCall) requiresHomeTarget() bool {
	_, hasTimestamp := ledger.KeyTime(p.request.IdempotencyKey)
	return hasTimestamp && !p.request.FreshKey && !p.request.Idempotent
}
