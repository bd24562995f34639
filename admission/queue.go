// Package admission decides which waiting request an agent sends to its target next and
// which requests it refuses. The queue is bounded, has priority classes, is fair
// between customers by weight, and respects deadlines. The package does no I/O and
// reads no clock; callers pass in the time. It is not safe for concurrent use.
package admission

import (
	"slices"
	"time"
)

type Limits struct {
	// MaxLength is the maximum number of waiting requests.
	MaxLength int
	// MaxWait is the longest expected wait with which a request is accepted, whatever
	// its deadline.
	MaxWait time.Duration
}

// Item is one waiting request.
type Item struct {
	ID       string
	Customer string
	// Weight is the customer's share; Priority ranges from 0 (first) to 3.
	Weight   int
	Priority int
	// Cost is the target time that the request uses before its first token.
	Cost time.Duration
	// Deadline is when the caller stops waiting for the first token; zero means never.
	Deadline time.Time
	// PrefixHashes are the hashes at the prompt's prefix boundaries, shortest prefix
	// first.
	PrefixHashes []uint64

	startTag float64
	arrival  uint64
	enqueued time.Time
}

// account is the state of one customer in the fair queue.
type account struct {
	// finishTag is the virtual time at which the customer's last queued request ends.
	finishTag float64
	queued    int
}

// Queue is a weighted fair queue with priority classes.
type Queue struct {
	limits   Limits
	items    []*Item
	accounts map[string]*account
	// virtualTime is the highest start tag of the requests sent to the target.
	virtualTime float64
	arrivals    uint64
}

func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, accounts: map[string]*account{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Cost returns the total target time of the waiting requests.
func (q *Queue) Cost() time.Duration {
	var sum time.Duration
	for _, item := range q.items {
		sum += item.Cost
	}
	return sum
}

// Backlog is the work ahead of a request.
type Backlog struct {
	// Cost is the target time of the requests ahead, and Count their number.
	Cost  time.Duration
	Count int
}

// Ahead returns the waiting requests that would currently be served before a new one of
// the customer. Placement compares runners by it.
func (q *Queue) Ahead(customer string, priority int) Backlog {
	start := q.startTag(customer)
	var backlog Backlog
	for _, item := range q.items {
		if item.Priority < priority || (item.Priority == priority && item.startTag <= start) {
			backlog.add(item.Cost)
		}
	}
	return backlog
}

// ExpectedBacklog returns the work expected to be served before a new request of the
// customer: the customer's own waiting requests times the number of customers that
// share the target, since requests of the others that arrive later are interleaved with
// them. Admission checks the maximum wait against it.
func (q *Queue) ExpectedBacklog(customer string, priority int) Backlog {
	var own Backlog
	for _, item := range q.items {
		if item.Customer == customer && item.Priority <= priority {
			own.add(item.Cost)
		}
	}
	active := q.activeCustomers(customer)
	own.Cost *= time.Duration(active)
	own.Count *= active
	ahead := q.Ahead(customer, priority)
	return Backlog{Cost: max(ahead.Cost, own.Cost), Count: max(ahead.Count, own.Count)}
}

func (b *Backlog) add(cost time.Duration) {
	b.Cost += cost
	b.Count++
}

// activeCustomers returns the number of customers, including the given one, that have
// waiting requests or a finish tag beyond the virtual time.
func (q *Queue) activeCustomers(customer string) int {
	n := 1
	for name, a := range q.accounts {
		if name != customer && (a.queued > 0 || a.finishTag > q.virtualTime) {
			n++
		}
	}
	return n
}

func (q *Queue) startTag(customer string) float64 {
	a := q.accounts[customer]
	if a == nil {
		return q.virtualTime
	}
	return max(q.virtualTime, a.finishTag)
}

// PushResult is the outcome of Push. Refused is empty if the request was queued.
// Evicted, if set, is a waiting request that was removed to make room for it.
type PushResult struct {
	Refused Reason
	Evicted *Item
	// RetryAfter is when room is expected, for the request that was refused or evicted.
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

const (
	Admitted      Reason = ""
	QueueFull     Reason = "queue_full"
	DeadlineUnmet Reason = "deadline_unmet"
	Canceled      Reason = "canceled"
)

// Push adds a request to the queue. wait is its expected wait, given the load of the
// target and the backlog. A refusal is immediate and final.
func (q *Queue) Push(item *Item, wait time.Duration, now time.Time) PushResult {
	if wait > q.limits.MaxWait {
		return PushResult{Refused: QueueFull, RetryAfter: wait - q.limits.MaxWait + item.Cost}
	}
	if !item.Deadline.IsZero() && now.Add(wait+item.Cost).After(item.Deadline) {
		return PushResult{Refused: DeadlineUnmet, RetryAfter: wait}
	}
	var evicted *Item
	if len(q.items) >= q.limits.MaxLength {
		evicted = q.evictionCandidate(item)
		if evicted == nil {
			return PushResult{Refused: QueueFull, RetryAfter: q.meanCost()}
		}
		q.Remove(evicted.ID)
	}
	q.enqueue(item, now)
	return PushResult{Evicted: evicted, RetryAfter: wait + q.Cost()}
}

func (q *Queue) meanCost() time.Duration {
	return q.Cost() / time.Duration(max(1, len(q.items)))
}

// evictionCandidate returns the waiting request to evict in favour of item: the last
// one in order of service, if it comes after item. A customer that floods the queue
// therefore loses only its own requests.
func (q *Queue) evictionCandidate(item *Item) *Item {
	last := &Item{Priority: item.Priority, startTag: q.startTag(item.Customer), arrival: q.arrivals + 1}
	var victim *Item
	for _, waiting := range q.items {
		if before(last, waiting) {
			last, victim = waiting, waiting
		}
	}
	return victim
}

func (q *Queue) enqueue(item *Item, now time.Time) {
	a := q.accounts[item.Customer]
	if a == nil {
		a = &account{}
		q.accounts[item.Customer] = a
	}
	q.arrivals++
	item.arrival = q.arrivals
	item.enqueued = now
	item.startTag = q.startTag(item.Customer)
	a.finishTag = item.startTag + item.Cost.Seconds()/float64(max(1, item.Weight))
	a.queued++
	q.items = append(q.items, item)
}

// before reports whether a is served before b.
func before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.arrival < b.arrival
}

// DispatchDecision says whether a request may be sent to the target now.
type DispatchDecision int

const (
	// Dispatch: the target can take the request.
	Dispatch DispatchDecision = iota
	// Skip: not yet; requests behind it may be sent first.
	Skip
	// Block: not yet, and it has been skipped for so long that no request behind it may
	// be sent first. Without this, a long request would starve behind short ones.
	Block
)

// Next removes and returns the first request in order of service for which decide
// returns Dispatch. It returns nil if there is none.
func (q *Queue) Next(decide func(*Item) DispatchDecision) *Item {
	slices.SortFunc(q.items, compare)
	for _, item := range q.items {
		switch decide(item) {
		case Dispatch:
			q.virtualTime = max(q.virtualTime, item.startTag)
			q.unlink(item)
			return item
		case Block:
			return nil
		}
	}
	return nil
}

func compare(a, b *Item) int {
	if before(a, b) {
		return -1
	}
	return 1
}

// RemoveExpired removes and returns the requests whose callers have stopped waiting.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	var expired []*Item
	for _, item := range q.items {
		if !item.Deadline.IsZero() && now.After(item.Deadline) {
			expired = append(expired, item)
		}
	}
	for _, item := range expired {
		q.refund(item)
		q.unlink(item)
	}
	return expired
}

// Remove removes a request that was canceled, and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	for _, item := range q.items {
		if item.ID == id {
			q.refund(item)
			q.unlink(item)
			return true
		}
	}
	return false
}

// refund takes back the virtual time charged to a customer for a request that never
// ran.
func (q *Queue) refund(item *Item) {
	a := q.accounts[item.Customer]
	a.finishTag -= item.Cost.Seconds() / float64(max(1, item.Weight))
}

func (q *Queue) unlink(item *Item) {
	for i, waiting := range q.items {
		if waiting == item {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	a := q.accounts[item.Customer]
	a.queued--
	// A customer whose finish tag is not beyond the virtual time starts as a new one
	// would.
	if a.queued == 0 && a.finishTag <= q.virtualTime {
		delete(q.accounts, item.Customer)
	}
}

// Waited returns how long the item has been waiting at now.
func (i *Item) Waited(now time.Time) time.Duration {
	return now.Sub(i.enqueued)
}
