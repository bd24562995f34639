package pulses

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/origin"
)

// Sizes of encoded origins in bytes.
const (
	streamBytes       = 4
	originHeaderBytes = 12
	// streamsPerMessage is how many streams one message lists; more would not fit a datagram.
	streamsPerMessage = 200
)

// addOrigins packs the origins of streams.
func (p *packer) addOrigins(reports []origin.Report) {
	for _, r := range reports {
		for from := 0; from < len(r.Streams); from += streamsPerMessage {
			w := &keelv1.StreamOrigins{Service: r.Origin.Service, Build: r.Origin.Build}
			for _, s := range r.Streams[from:min(len(r.Streams), from+streamsPerMessage)] {
				w.Stream = append(w.Stream, uint32(s))
			}
			p.reserve(originHeaderBytes + len(w.Service) + len(w.Build) + streamBytes*len(w.Stream))
			p.message.Origins = append(p.message.Origins, w)
		}
	}
}

// DecodeOrigins decodes the origins of streams.
func DecodeOrigins(all []*keelv1.StreamOrigins) []origin.Report {
	out := make([]origin.Report, 0, len(all))
	for _, w := range all {
		r := origin.Report{Origin: origin.Origin{Service: w.Service, Build: w.Build}}
		for _, s := range w.Stream {
			r.Streams = append(r.Streams, origin.Stream(s))
		}
		out = append(out, r)
	}
	return out
}

// EncodeOriginAnswer encodes the answer to the question with a number.
func EncodeOriginAnswer(number uint64, a origin.Answer) *keelv1.OriginAnswer {
	if a.Known {
		return &keelv1.OriginAnswer{Number: number, Known: true, Service: a.Origin.Service, Build: a.Origin.Build}
	}
	return &keelv1.OriginAnswer{Number: number, Sole: a.Versions.Sole, Build: a.Versions.Build, Fresh: a.Versions.Confirmed}
}

// DecodeOriginAnswer decodes an answer.
func DecodeOriginAnswer(w *keelv1.OriginAnswer) origin.Answer {
	if w.Known {
		return origin.Answer{Known: true, Origin: origin.Origin{Service: w.Service, Build: w.Build}}
	}
	return origin.Answer{Versions: origin.Versions{Sole: w.Sole, Build: w.Build, Confirmed: w.Fresh}}
}

// EncodeStoredOrigins encodes the origins of streams for the store, in the form that a pulse has.
func EncodeStoredOrigins(reports []origin.Report) ([]byte, error) {
	message := &keelv1.Pulse{}
	for _, r := range reports {
		w := &keelv1.StreamOrigins{Service: r.Origin.Service, Build: r.Origin.Build, Stream: make([]uint32, 0, len(r.Streams))}
		for _, s := range r.Streams {
			w.Stream = append(w.Stream, uint32(s))
		}
		message.Origins = append(message.Origins, w)
	}
	return proto.Marshal(message)
}

// DecodeStoredOrigins decodes the origins of streams from the store.
func DecodeStoredOrigins(value []byte) ([]origin.Report, error) {
	var message keelv1.Pulse
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, fmt.Errorf("decode records of streams: %w", err)
	}
	return DecodeOrigins(message.Origins), nil
}
