package pulses

import (
	"errors"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
)

// packing spreads a pulse over datagrams of about DatagramBytes each.
type packing struct {
	// message is the datagram that is being filled, size about its bytes, and begin
	// returns the next one with what each of them bears.
	message *keelv1.Pulse
	size    int
	begin   func() *keelv1.Pulse
	out     [][]byte
	err     error
}

func newPacking(first *keelv1.Pulse, begin func() *keelv1.Pulse) *packing {
	return &packing{message: first, size: proto.Size(first), begin: begin}
}

// room makes room for a part of so many bytes, in the next datagram if need be.
func (p *packing) room(bytes int) {
	if p.size+bytes > DatagramBytes {
		p.next()
	}
	p.size += bytes
}

// next begins the next datagram.
func (p *packing) next() {
	p.flush()
	p.message = p.begin()
	p.size = proto.Size(p.message)
}

func (p *packing) flush() {
	datagram, err := Encode(p.message)
	p.err = errors.Join(p.err, err)
	p.out = append(p.out, datagram)
}

// end returns the datagrams.
func (p *packing) end() ([][]byte, error) {
	p.flush()
	return p.out, p.err
}
