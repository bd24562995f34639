package pulses

import (
	"errors"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
)

// packer spreads a pulse over datagrams of about DatagramBytes each.
type packer struct {
	// message is the datagram that is being filled, size about its bytes, and begin
	// returns the next one with what each of them bears.
	message    *keelv1.Pulse
	size       int
	newMessage func() *keelv1.Pulse
	datagrams  [][]byte
	err        error
}

func newPacker(first *keelv1.Pulse, newMessage func() *keelv1.Pulse) *packer {
	return &packer{message: first, size: proto.Size(first), newMessage: newMessage}
}

// reserve makes reserve for a part of so many bytes, in the next datagram if need be.
func (p *packer) reserve(bytes int) {
	if p.size+bytes > DatagramBytes {
		p.startNext()
	}
	p.size += bytes
}

// startNext begins the startNext datagram.
func (p *packer) startNext() {
	p.flush()
	p.message = p.newMessage()
	p.size = proto.Size(p.message)
}

func (p *packer) flush() {
	datagram, err := Encode(p.message)
	p.err = errors.Join(p.err, err)
	p.datagrams = append(p.datagrams, datagram)
}

// finish returns the datagrams.
func (p *packer) finish() ([][]byte, error) {
	p.flush()
	return p.datagrams, p.err
}
