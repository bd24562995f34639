package pulses

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/origin"
)

// Guards against origins lost where they fill several datagrams, and datagrams over a packet.
func TestOriginsFillSeveralDatagrams(t *testing.T) {
	want := map[origin.Origin]int{{Service: "lm", Build: "v1"}: 1000, {Service: "lm", Build: "v1.1"}: 3}
	var update Update
	for o, n := range want {
		r := origin.Report{Origin: o}
		for i := range n {
			r.Streams = append(r.Streams, origin.Stream(i))
		}
		update.Origins = append(update.Origins, r)
	}
	datagrams, err := update.Datagrams("n", nil)
	if err != nil {
		t.Fatal(err)
	}
	got := map[origin.Origin]int{}
	for _, d := range datagrams {
		if len(d) > DatagramBytes+100 {
			t.Errorf("a datagram has %d bytes", len(d))
		}
		var message keelv1.Pulse
		if err := proto.Unmarshal(d, &message); err != nil {
			t.Fatal(err)
		}
		for _, r := range DecodeOrigins(message.Origins) {
			got[r.Origin] += len(r.Streams)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v, want %v", got, want)
	}
}

// Guards against an answer that says more after it was sent than before.
func TestOriginAnswersSurviveTheirEncoding(t *testing.T) {
	for _, a := range []origin.Answer{
		{},
		{Known: true, Origin: origin.Origin{Service: "lm", Build: ""}},
		{Known: true, Origin: origin.Origin{Service: "lm", Build: "v1"}},
		{Versions: origin.Versions{Sole: true, Build: "v1"}},
		{Versions: origin.Versions{Sole: true, Build: "v1", Confirmed: true}},
	} {
		if got := DecodeOriginAnswer(EncodeOriginAnswer(7, a)); got != a {
			t.Errorf("%+v became %+v", a, got)
		}
	}
}
