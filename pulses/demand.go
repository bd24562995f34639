package pulses

import (
	"slices"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/sharing"
)

// EncodeDemand encodes the demand for target time.
func EncodeDemand(r sharing.Report) *keelv1.DemandNews {
	w := &keelv1.DemandNews{UpUs: Micros(r.Uptime), Processes: uint32(max(0, r.Entries))}
	for _, row := range r.Rows {
		at := slices.Index(w.Service, row.Service)
		if at < 0 {
			at = len(w.Service)
			w.Service = append(w.Service, row.Service)
		}
		w.ServiceIndex = append(w.ServiceIndex, uint32(at))
		w.Class = append(w.Class, uint32(row.Class))
		w.Customer = append(w.Customer, row.Customer)
		w.Asked = append(w.Asked, uint64(max(0, row.Asked)))
		w.Admitted = append(w.Admitted, uint64(max(0, row.Admitted)))
	}
	return w
}

// DemandSize returns the encoded size of the demand in a datagram, 0 if it is not sent.
func DemandSize(r sharing.Report) int {
	if r.Entries <= 0 {
		return 0
	}
	return proto.Size(EncodeDemand(r)) + demandHeaderBytes
}

// DecodeDemand decodes the demand for target time. Where the lists differ in length, as in
// a datagram of another version, the excess elements are ignored, and so are rows of
// services that are not named.
func DecodeDemand(w *keelv1.DemandNews) sharing.Report {
	r := sharing.Report{Uptime: FromMicros(w.UpUs), Entries: int(w.Processes)}
	for i := range min(len(w.ServiceIndex), len(w.Class), len(w.Customer), len(w.Asked), len(w.Admitted)) {
		if int(w.ServiceIndex[i]) >= len(w.Service) {
			continue
		}
		// Values above the range of an int64 become negative, which the receiver ignores.
		r.Rows = append(r.Rows, sharing.Row{
			Service: w.Service[w.ServiceIndex[i]], Class: int(w.Class[i]), Customer: w.Customer[i], Asked: int64(w.Asked[i]), Admitted: int64(w.Admitted[i]),
		})
	}
	return r
}
