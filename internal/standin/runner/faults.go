package runner

// Fault is a failure that the target simulates.
type Fault string

// The faults.
const (
	None Fault = ""
	// Shed refuses requests without executing them.
	Shed Fault = "shed"
	// BrokenShed acts like Broken and refuses requests that resume a stream without
	// executing them; BrokenFailing answers these with 500.
	BrokenShed    Fault = "broken_shed"
	BrokenFailing Fault = "broken_failing"
	// LoseAnswer executes the request and closes the connection without a response.
	LoseAnswer Fault = "lose_answer"
	// LoseAnswerByReset executes the request, a plain one for as long as it takes, and resets
	// the connection without a response.
	LoseAnswerByReset Fault = "lose_answer_by_reset"
	// Crossed answers with the Request-Id of another request.
	Crossed Fault = "crossed"
	// Unsealed omits the Response-Seal header.
	Unsealed Fault = "unsealed"
	// Broken aborts a stream in the middle of its third event, except a stream that
	// is resumed after an earlier event.
	Broken Fault = "broken"
	// Mute executes the request and never answers; the connection stays open.
	Mute Fault = "mute"
	// Failing executes the request and answers 500.
	Failing Fault = "failing"
	// RebornInStream restarts the target in the middle of the third event of a
	// stream, RebornAtOrder after it has accepted an order and before it responds.
	// The restart clears the fault, so each happens once.
	RebornInStream Fault = "reborn_in_stream"
	RebornAtOrder  Fault = "reborn_at_order"
	// DeafToOrders neither answers nor executes orders. LateOrders does not answer
	// them and executes each after lateOrderDelay.
	DeafToOrders Fault = "deaf_to_orders"
	LateOrders   Fault = "late_orders"
	// The endless faults execute the request and send a head, a body or a refusal until the
	// caller closes the connection.
	EndlessHead       Fault = "endless_head"
	EndlessChunks     Fault = "endless_chunks"
	EndlessUntilClose Fault = "endless_until_close"
	EndlessRefusal    Fault = "endless_refusal"
	// The malformed faults execute the request and answer, or seem to refuse, with a response that
	// the protocol does not allow.
	MalformedStatus  Fault = "malformed_status"
	MalformedName    Fault = "malformed_name"
	MalformedLength  Fault = "malformed_length"
	MalformedInterim Fault = "malformed_interim"
	MalformedTrailer Fault = "malformed_trailer"
	MalformedRefusal Fault = "malformed_refusal"
)
