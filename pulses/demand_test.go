package pulses

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/sharing"
)

// Guards against demand that is assigned to another service, class or customer on its way,
// and against reports that do not fit one datagram, which would be applied in part.
func TestDemandRoundTrip(t *testing.T) {
	r := sharing.Report{Uptime: 90 * time.Second, Entries: 12}
	for i := range 64 {
		r.Rows = append(r.Rows, sharing.Row{Service: fmt.Sprintf("service %d", i%6), Class: i % 4, Customer: math.MaxUint64 - uint64(i), Asked: int64(i) * 1e6, Admitted: int64(i) * 9e5})
	}
	w := EncodeDemand(r)
	got := DecodeDemand(w)
	if got.Uptime != r.Uptime || got.Entries != r.Entries || !slices.Equal(got.Rows, r.Rows) {
		t.Errorf("%+v arrived, want %+v", got, r)
	}
	for _, group := range []*keelv1.GroupNews{nil, {Group: 1, Groups: 2}} {
		datagrams, err := Update{Demand: r}.Datagrams("sender", group)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, d := range datagrams {
			m := &keelv1.Pulse{}
			if err := proto.Unmarshal(d, m); err != nil {
				t.Fatal(err)
			}
			if m.Demand != nil && len(d) < 1472 {
				found++
			}
		}
		if found != 1 {
			t.Errorf("%d datagrams of one packet with the demand, want 1", found)
		}
	}
}

// Guards against a crash on lists of other lengths, or on an index out of range.
func TestMalformedDemandIsRead(t *testing.T) {
	w := &keelv1.DemandNews{
		UpUs: math.MaxUint64, Processes: math.MaxUint32, Service: []string{"a"}, ServiceIndex: []uint32{0, 7, math.MaxUint32},
		Class: []uint32{0, 1, math.MaxUint32}, Customer: []uint64{1, 2, 3}, Asked: []uint64{1, 2, math.MaxUint64}, Admitted: []uint64{1, 2, 3, 4},
	}
	if got := DecodeDemand(w); len(got.Rows) != 1 {
		t.Errorf("%+v", got)
	}
	w.Class = nil
	if got := DecodeDemand(w); len(got.Rows) != 0 {
		t.Errorf("%+v", got)
	}
}
