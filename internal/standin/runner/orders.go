package runner

import (
	"encoding/json"
	"net/http"
	"time"
)

// Order is an order that the target accepted.
type Order struct {
	Op           string `json:"op"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	Mode         string `json:"mode"`
	Holder       string `json:"holder"`
	Fence        int64  `json:"fence"`
	Precondition *int64 `json:"precondition"`
	// Born is the start time of the target lifetime that accepted it.
	Born int64 `json:"-"`
}

// Arrival is an order that arrived at the target.
type Arrival struct {
	Order
	At time.Time
	// Accepted is set once the target has accepted the order.
	Accepted bool
}

// lateOrderDelay is the delay before a target with the fault LateOrders executes an order.
const lateOrderDelay = 1500 * time.Millisecond

func (r *Runner) order(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.Header.Get("Expect-Instance") != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrival := r.recordArrival(o)
	if fault := r.faultNow(); fault == DeafToOrders || fault == LateOrders {
		if fault == LateOrders {
			time.AfterFunc(lateOrderDelay, func() { r.accept(arrival) })
		}
		<-req.Context().Done()
		return
	}
	accepted, fault := r.accept(arrival)
	switch {
	case !accepted:
		w.WriteHeader(http.StatusConflict)
	case fault == RebornAtOrder:
		r.Reborn()
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// OrderArrivals returns all orders for this target in the order of their arrival, whether it
// accepted them or not.
func (r *Runner) OrderArrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// recordArrival records an order and returns its index among the arrivals.
func (r *Runner) recordArrival(o Order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{Order: o, At: time.Now()})
	return len(r.arrivals) - 1
}

func (r *Runner) faultNow() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// accept executes the order of an arrival unless another is in progress or its precondition
// differs from the number of accepted orders.
func (r *Runner) accept(arrival int) (bool, Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.arrivals[arrival].Order
	if r.busy || o.Precondition != nil && *o.Precondition != int64(r.accepted) {
		return false, r.fault
	}
	o.Born = r.born
	r.orders = append(r.orders, o)
	r.accepted++
	r.arrivals[arrival].Accepted = true
	r.startOrder(o)
	return true, r.fault
}
