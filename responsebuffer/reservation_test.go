package responsebuffer

import (
	"errors"
	"testing"
)

// Guards against responses that fill the memory while they are read, and against a small one that
// is ended in place of the one that holds most.
func TestReservationsShareTheLimit(t *testing.T) {
	pool := NewPool(Limits{Response: enough, Total: 100 << 10}, nil)
	var given []string
	large := pool.Reserve(func() { given = append(given, "large") })
	small := pool.Reserve(func() { given = append(given, "small") })
	client := newTestClient(0)
	waiting := newResponse(t.Context(), pool, client)
	if err := errors.Join(large.Grow(60<<10), waiting.Write(make([]byte, 20<<10)), small.Grow(15<<10)); err != nil {
		t.Fatal(err)
	}
	if err := small.Grow(10 << 10); err != nil || len(given) != 1 || given[0] != "large" {
		t.Errorf("beyond the limit: %v, given up: %v", err, given)
	}
	var exceeded *ReservationError
	if err := large.Grow(1); !errors.As(err, &exceeded) || exceeded.Reason != TotalLimit || exceeded.Bytes != 60<<10 || len(given) != 1 {
		t.Errorf("the one that was given up: %v, given up: %v", err, given)
	}
	if u := pool.Usage(); u.Bytes != 45<<10 || u.Responses != 2 {
		t.Errorf("held: %+v", u)
	}
	small.Shrink(5 << 10)
	small.Release()
	large.Release()
	client.give(enough)
	if err := waiting.Finish(); err != nil || pool.Usage() != (Usage{}) {
		t.Errorf("after the end: %v, held: %+v", err, pool.Usage())
	}
	waiting.Close()
}

// Guards against a reservation that fails its only caller without a pool.
func TestNoPoolReservesNothing(t *testing.T) {
	var pool *Pool
	r := pool.Reserve(nil)
	if err := errors.Join(r.Grow(enough), r.Err()); err != nil {
		t.Error(err)
	}
	r.Shrink(enough)
	r.Release()
}
