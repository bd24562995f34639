package responsebuffer

// Limits bound the memory that responses occupy while they are read whole and while they wait for
// their clients.
type Limits struct {
	// Response is the limit of one response in bytes, Total that of all together.
	Response int64
	Total    int64
}

// Reason says why a response was aborted.
type Reason string

// The reasons for aborting a response.
const (
	// ResponseLimit: the response alone exceeded its limit.
	ResponseLimit Reason = "response_limit"
	// TotalLimit: all responses together exceeded theirs, and this one held most.
	TotalLimit Reason = "total_limit"
	// ClientLeft: the client disconnected before it had taken the response.
	ClientLeft Reason = "client_left"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{ResponseLimit, TotalLimit, ClientLeft} }

// ledger counts the bytes that responses hold and decides which response is aborted when a
// limit is exceeded. It does no I/O and is not safe for concurrent use.
type ledger struct {
	limits Limits
	held   map[*account]struct{}
	total  int64
	opened uint64
}

// owner is what an account belongs to. abort is called once the ledger has aborted it.
type owner interface {
	abort(reason Reason, held int64)
}

// account is what one response holds. The zero value holds nothing.
type account struct {
	owner owner
	bytes int64
	// opened orders accounts by when they began to hold bytes.
	opened uint64
	// aborted is set once the ledger has aborted the response; it holds nothing from then on.
	aborted Reason
}

// abortion is the decision to abort a response, which held the given bytes.
type abortion struct {
	account *account
	reason  Reason
	bytes   int64
}

func newLedger(l Limits) *ledger {
	l.Response = min(l.Response, l.Total)
	return &ledger{limits: l, held: map[*account]struct{}{}}
}

// add adds bytes to what a response holds, and returns the responses that are aborted for
// it: this one if it exceeds its own limit, otherwise those that hold most until the rest is
// within the limit of all. Bytes of an aborted response are not counted.
func (l *ledger) add(a *account, n int64) []abortion {
	if a.aborted != "" {
		return nil
	}
	if _, ok := l.held[a]; !ok {
		l.opened++
		a.opened = l.opened
		l.held[a] = struct{}{}
	}
	a.bytes += n
	l.total += n
	if a.bytes > l.limits.Response {
		return []abortion{l.abort(a, ResponseLimit)}
	}
	var out []abortion
	for l.total > l.limits.Total {
		out = append(out, l.abort(l.largest(), TotalLimit))
	}
	return out
}

// largest returns the account that holds most, among equal ones the newest. It looks at all
// accounts, which happens only when the limit of all is exceeded.
func (l *ledger) largest() *account {
	var most *account
	for a := range l.held {
		if most == nil || a.bytes > most.bytes || (a.bytes == most.bytes && a.opened > most.opened) {
			most = a
		}
	}
	return most
}

func (l *ledger) abort(a *account, reason Reason) abortion {
	out := abortion{a, reason, a.bytes}
	a.aborted = reason
	l.release(a)
	return out
}

// remove subtracts bytes that the client has taken.
func (l *ledger) remove(a *account, n int64) {
	if _, ok := l.held[a]; !ok {
		return
	}
	a.bytes -= n
	l.total -= n
	if a.bytes <= 0 {
		l.release(a)
	}
}

// release removes all that a response holds.
func (l *ledger) release(a *account) {
	if _, ok := l.held[a]; !ok {
		return
	}
	l.total -= a.bytes
	a.bytes = 0
	delete(l.held, a)
}

// Usage is what is held at one time.
type Usage struct {
	// Bytes are held by all responses together, Largest by the one that holds most.
	Bytes     int64
	Largest   int64
	Responses int
}

func (l *ledger) usage() Usage {
	u := Usage{Bytes: l.total, Responses: len(l.held)}
	for a := range l.held {
		u.Largest = max(u.Largest, a.bytes)
	}
	return u
}
