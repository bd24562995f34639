package runner

// Fault is what goes wrong with the requests of one target.
type Fault string

// The faults.
const (
	None Fault = ""
	// Shed refuses without running.
	Shed Fault = "shed"
	// BrokenShed is Broken, and refuses unrun what goes on after an event;
	// BrokenFailing answers 500 to that.
	BrokenShed    Fault = "broken_shed"
	BrokenFailing Fault = "broken_failing"
	// LoseAnswer runs the request and closes the connection.
	LoseAnswer Fault = "lose_answer"
	// Crossed answers with the id of another request.
	Crossed Fault = "crossed"
	// Unsealed answers without vouching for the body.
	Unsealed Fault = "unsealed"
	// Broken stops a stream in the middle of its third event, but not one that
	// goes on after an earlier event.
	Broken Fault = "broken"
	// Mute runs the request and never answers, with its connections open.
	Mute Fault = "mute"
	// Failing runs the request and answers 500.
	Failing Fault = "failing"
	// RebornInStream starts the target again in the middle of the third event of
	// a stream, RebornAtOrder once it has accepted an order and before it says so.
	// Either happens once: the new life has no fault.
	RebornInStream Fault = "reborn_in_stream"
	RebornAtOrder  Fault = "reborn_at_order"
	// DeafToOrders answers no order and carries none out, LateOrders answers none and
	// carries each out later.
	DeafToOrders Fault = "deaf_to_orders"
	LateOrders   Fault = "late_orders"
)
