package pulses

import (
	"errors"

	"google.golang.org/protobuf/proto"

	keelv1 "acaciakeel/api/keel/v1"
)

// packer spreads a pulse over datagrams of about DatagramBytes each.
type packer struct {
	// message is the datagram being filled and size its approximate encoded size.
	// newMessage returns an empty datagram with the fields that each datagram carries.
	message    *keelv1.Pulse
	size       int
	newMessage func() *keelv1.Pulse
	datagrams  [][]byte
	err        error
}

func newPacker(first *keelv1.Pulse, newMessage func() *keelv1.Pulse) *packer {
	return &packer{message: first, size: proto.Size(first), newMessage: newMessage}
}

// reserve accounts for the given number of bytes, and starts the next datagram if the
// current one has no space for them.
func (p *packer) reserve(bytes int) {
	if p.size+bytes > DatagramBytes {
		p.startNext()
	}
	p.size += bytes
}

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

// finish flushes the last datagram and returns all of them.
func (p *packer) finish() ([][]byte, error) {
	p.flush()
	return p.datagrams, p.err
}
