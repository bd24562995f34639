package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func dispatchAll(*Item) DispatchDecision { return Dispatch }

// TestQueueScripts runs scripted sequences of queue operations from golden files. The
// commands push, next, remove and at print what the queue decided.
func TestQueueScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		q := NewQueue(Limits{MaxLength: 4, MaxWait: 2 * time.Second})
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, q, &now, d)
		})
	})
}

func runCommand(t *testing.T, q *Queue, now *time.Time, d *datadriven.TestData) string {
	var id, customer string
	ms, weight, priority, deadline, busy := 100, 1, 1, 0, 0
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "customer", &customer)
	d.MaybeScanArgs(t, "ms", &ms)
	d.MaybeScanArgs(t, "weight", &weight)
	d.MaybeScanArgs(t, "priority", &priority)
	d.MaybeScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "busy", &busy)
	switch d.Cmd {
	case "push":
		item := &Item{ID: id, Customer: customer, Weight: weight, Priority: priority, Cost: time.Duration(ms) * time.Millisecond}
		if deadline > 0 {
			item.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
		}
		wait := time.Duration(busy)*time.Millisecond + q.Ahead(customer, priority).Cost
		decision := q.Push(item, wait, *now)
		return describe(q, decision)
	case "next":
		if item := q.Next(dispatchAll); item != nil {
			return item.ID + "\n"
		}
		return "nothing\n"
	case "remove":
		return fmt.Sprintf("%v\n", q.Remove(id))
	case "at":
		*now = start.Add(time.Duration(ms) * time.Millisecond)
		out := ""
		for _, item := range q.RemoveExpired(*now) {
			out += "expired " + item.ID + "\n"
		}
		return out + fmt.Sprintf("waiting %d\n", q.Len())
	}
	return "unknown command\n"
}

func describe(q *Queue, d PushResult) string {
	if d.Refused != Admitted {
		return fmt.Sprintf("refused %s retry_after=%v\n", d.Refused, d.RetryAfter)
	}
	if d.Evicted != nil {
		return fmt.Sprintf("taken, evicted %s\n", d.Evicted.ID)
	}
	return fmt.Sprintf("taken, waiting %d\n", q.Len())
}

// A customer that floods the queue must not take service from the others: customers
// that always have work are served equally whatever their costs and order of arrival.
func TestFairnessBetweenCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Limits{MaxLength: 1000, MaxWait: time.Hour})
		costs := rapid.SliceOfN(rapid.IntRange(1, 50), 5, 20).Draw(t, "costs")
		id := 0
		push := func(customer string) {
			id++
			cost := time.Duration(costs[id%len(costs)]) * time.Millisecond
			q.Push(&Item{ID: fmt.Sprint(id), Customer: customer, Weight: 1, Priority: 1, Cost: cost}, 0, start)
		}
		customers := []string{"flooder", "a", "b"}
		for range 30 {
			push("flooder")
		}
		served := map[string]time.Duration{}
		for range 60 {
			for _, c := range customers {
				push(c)
			}
			item := q.Next(dispatchAll)
			served[item.Customer] += item.Cost
		}
		for _, c := range customers {
			if diff := (served[c] - served["a"]).Abs(); diff > 110*time.Millisecond {
				t.Fatalf("customers were not served equally: %v", served)
			}
		}
	})
}

// No request may be lost or served twice, whatever the order of pushes, evictions,
// removals and expiries.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Limits{MaxLength: 5, MaxWait: time.Hour})
		ended := map[string]int{}
		pushed := 0
		now := start
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				pushed++
				item := &Item{
					ID:       fmt.Sprint(step),
					Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Cost:     time.Millisecond,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "deadline")) * time.Millisecond),
				}
				d := q.Push(item, 0, now)
				if d.Refused != Admitted {
					ended[item.ID]++
				}
				if d.Evicted != nil {
					ended[d.Evicted.ID]++
				}
			case 2:
				if item := q.Next(dispatchAll); item != nil {
					ended[item.ID]++
				}
			case 3:
				for _, item := range q.RemoveExpired(now) {
					ended[item.ID]++
				}
			}
		}
		for item := q.Next(dispatchAll); item != nil; item = q.Next(dispatchAll) {
			ended[item.ID]++
		}
		if len(ended) != pushed {
			t.Fatalf("%d of %d requests ended", len(ended), pushed)
		}
		for id, times := range ended {
			if times != 1 {
				t.Fatalf("request %s ended %d times", id, times)
			}
		}
	})
}

func TestReservations(t *testing.T) {
	r := NewReservations(3 * time.Millisecond)
	r.Reserve(1, 50*time.Millisecond, start)
	r.Reserve(2, 20*time.Millisecond, start)
	if got := r.Cost(start); got != 70*time.Millisecond {
		t.Errorf("reserved %v, want 70ms", got)
	}
	r.Release(1)
	if got := r.Cost(start.Add(time.Millisecond)); got != 20*time.Millisecond {
		t.Errorf("reserved %v, want 20ms", got)
	}
	if got := r.Cost(start.Add(time.Second)); got != 0 {
		t.Errorf("reserved %v after the reservations expired, want 0", got)
	}
}

// A long request must not starve while short ones overtake it.
func TestBlockedRequestIsNotOvertaken(t *testing.T) {
	q := NewQueue(Limits{MaxLength: 10, MaxWait: time.Hour})
	q.Push(&Item{ID: "long", Customer: "a", Cost: time.Second}, 0, start)
	q.Push(&Item{ID: "short", Customer: "b", Cost: time.Millisecond}, 0, start)
	verdict := Skip
	hold := func(i *Item) DispatchDecision {
		if i.ID == "long" {
			return verdict
		}
		return Dispatch
	}
	if item := q.Next(hold); item == nil || item.ID != "short" {
		t.Errorf("next is %v, want short", item)
	}
	q.Push(&Item{ID: "next", Customer: "b", Cost: time.Millisecond}, 0, start)
	verdict = Block
	if item := q.Next(hold); item != nil {
		t.Errorf("%s overtook a blocked request", item.ID)
	}
}
