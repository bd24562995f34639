// Package admission decides which waiting request an agent gives its target
// next and which it refuses: a bounded queue with priority classes, fair
// between customers by weight, aware of deadlines. It is pure: time and
// requests in, verdicts out. It is not safe for concurrent use.
package admission

import (
	"slices"
	"time"
)

// Limits bound the queue.
type Limits struct {
	// MaxLength is the most requests that wait.
	MaxLength int
	// MaxWait is the longest expected wait that is taken on, whatever the caller's deadline.
	MaxWait time.Duration
}

// Item is one waiting request.
type Item struct {
	ID       string
	Customer string
	// Weight is the customer's share; Priority is 0 (first) to 3.
	Weight   int
	Priority int
	// Cost is the target's time that the request takes before its first answer.
	Cost time.Duration
	// Deadline is when the caller stops waiting for the first token; zero is never.
	Deadline time.Time
	// PrefixHashes are the prompt's boundaries, shortest first.
	PrefixHashes []uint64

	start    float64
	arrival  uint64
	enqueued time.Time
}

// account is one customer's place in the fair order.
type account struct {
	// finish is the virtual time up to which the customer was served.
	finish float64
	queued int
}

// Queue is the state.
type Queue struct {
	limits   Limits
	items    []*Item
	accounts map[string]*account
	// virtual is the start tag of the last request given to the target.
	virtual  float64
	arrivals uint64
}

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, accounts: map[string]*account{}}
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return len(q.items)
}

// Cost returns the target's time that all waiting requests take.
func (q *Queue) Cost() time.Duration {
	var sum time.Duration
	for _, item := range q.items {
		sum += item.Cost
	}
	return sum
}

// Backlog is what stands before a request.
type Backlog struct {
	// Cost is the target's time that the requests ahead take, and Count how many they are.
	Cost  time.Duration
	Count int
}

// Ahead returns the waiting requests that would now go before a new one of
// the customer. Placement compares runners by it.
func (q *Queue) Ahead(customer string, priority int) Backlog {
	start := q.startTag(customer)
	var line Backlog
	for _, item := range q.items {
		if item.Priority < priority || (item.Priority == priority && item.start <= start) {
			line.add(item.Cost)
		}
	}
	return line
}

// ExpectedBacklog returns what will have gone before a new request of the customer when
// its turn comes: its own waiting requests, times the customers that share
// the target with it, since theirs that come later go in between. Admission
// judges by it whether the wait is within bounds.
func (q *Queue) ExpectedBacklog(customer string, priority int) Backlog {
	var own Backlog
	for _, item := range q.items {
		if item.Customer == customer && item.Priority <= priority {
			own.add(item.Cost)
		}
	}
	sharers := q.sharers(customer)
	own.Cost *= time.Duration(sharers)
	own.Count *= sharers
	ahead := q.Ahead(customer, priority)
	return Backlog{Cost: max(ahead.Cost, own.Cost), Count: max(ahead.Count, own.Count)}
}

func (l *Backlog) add(cost time.Duration) {
	l.Cost += cost
	l.Count++
}

// sharers returns how many customers, weighed against the given one, have
// requests waiting or were served beyond the present, it among them.
func (q *Queue) sharers(customer string) int {
	n := 1
	for name, a := range q.accounts {
		if name != customer && (a.queued > 0 || a.finish > q.virtual) {
			n++
		}
	}
	return n
}

func (q *Queue) startTag(customer string) float64 {
	a := q.accounts[customer]
	if a == nil {
		return q.virtual
	}
	return max(q.virtual, a.finish)
}

// PushResult is what Push decided: Refused is empty when the request waits.
// Evicted, where set, is a waiting request that gave its place up.
type PushResult struct {
	Refused Reason
	Evicted *Item
	// RetryAfter is when room is expected, for whichever request was refused.
	RetryAfter time.Duration
}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	Admitted      Reason = ""
	QueueFull     Reason = "queue_full"
	DeadlineUnmet Reason = "deadline_unmet"
	Canceled      Reason = "canceled"
)

// Push puts a request into the queue. Wait is how long it will wait there, by
// what the target has and what stands ahead. A refusal is immediate and final.
func (q *Queue) Push(item *Item, wait time.Duration, now time.Time) PushResult {
	if wait > q.limits.MaxWait {
		return PushResult{Refused: QueueFull, RetryAfter: wait - q.limits.MaxWait + item.Cost}
	}
	if !item.Deadline.IsZero() && now.Add(wait+item.Cost).After(item.Deadline) {
		return PushResult{Refused: DeadlineUnmet, RetryAfter: wait}
	}
	var evicted *Item
	if len(q.items) >= q.limits.MaxLength {
		evicted = q.overdrawn(item)
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

// overdrawn returns the waiting request that should give its place up to
// item: the last in line, if it comes after item. So a customer that floods
// the queue loses its own requests and nobody else's.
func (q *Queue) overdrawn(item *Item) *Item {
	last := &Item{Priority: item.Priority, start: q.startTag(item.Customer), arrival: q.arrivals + 1}
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
	item.start = q.startTag(item.Customer)
	a.finish = item.start + item.Cost.Seconds()/float64(max(1, item.Weight))
	a.queued++
	q.items = append(q.items, item)
}

// before is the order of service.
func before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrival < b.arrival
}

// DispatchDecision says whether a request may be given to the target now.
type DispatchDecision int

// The verdicts on a request in line.
const (
	// Dispatch: the target can take it.
	Dispatch DispatchDecision = iota
	// Skip: not yet; those behind it may go first.
	Skip
	// Block: not yet, and it has been passed for long enough: nobody behind
	// it goes first. Without this a long request would starve behind short ones.
	Block
)

// Next takes out the request to give to the target: the first in line that
// hold lets go. It returns nil where there is none.
func (q *Queue) Next(hold func(*Item) DispatchDecision) *Item {
	slices.SortFunc(q.items, compare)
	for _, item := range q.items {
		switch hold(item) {
		case Dispatch:
			q.virtual = max(q.virtual, item.start)
			q.take(item)
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

// RemoveExpired takes out the requests whose caller has stopped waiting.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	var late []*Item
	for _, item := range q.items {
		if !item.Deadline.IsZero() && now.After(item.Deadline) {
			late = append(late, item)
		}
	}
	for _, item := range late {
		q.refund(item)
		q.take(item)
	}
	return late
}

// Remove takes out a request that was given up, and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	for _, item := range q.items {
		if item.ID == id {
			q.refund(item)
			q.take(item)
			return true
		}
	}
	return false
}

// refund gives a customer back the share of a request that never ran.
func (q *Queue) refund(item *Item) {
	a := q.accounts[item.Customer]
	a.finish -= item.Cost.Seconds() / float64(max(1, item.Weight))
}

func (q *Queue) take(item *Item) {
	for i, waiting := range q.items {
		if waiting == item {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	a := q.accounts[item.Customer]
	a.queued--
	// A customer that was served up to the present has no history to keep.
	if a.queued == 0 && a.finish <= q.virtual {
		delete(q.accounts, item.Customer)
	}
}

// Waited returns how long the item has waited by now.
func (i *Item) Waited(now time.Time) time.Duration {
	return now.Sub(i.enqueued)
}
