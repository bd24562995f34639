package bed

import (
	"math/rand/v2"
	"net"
	"time"
)

// resendAfter is how long TCP waits before it sends a lost packet again, at the least; the time
// doubles with each loss.
const resendAfter = 200 * time.Millisecond

// givenUp is when the entry's kernel closes a connection whose packets are not acknowledged
// (TCP_USER_TIMEOUT); what has not arrived by then never does.
const givenUp = 1200 * time.Millisecond

// Link is the way to a runner: it passes bytes on, and may lose packets that a caller sends.
type Link struct {
	// Loses is asked for each piece of bytes of a caller, of a packet's size or less, and returns
	// with which probability a packet with it is lost.
	Loses func(p []byte) float64

	listener net.Listener
	to       string
}

// NewLink listens at an address and passes on to another one.
func NewLink(ip, to string, loses func(p []byte) float64) (*Link, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	k := &Link{Loses: loses, listener: l, to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// Address is where callers reach the runner.
func (k *Link) Address() string { return k.listener.Addr().String() }

func (k *Link) serve(caller net.Conn) {
	defer caller.Close()
	runner, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer runner.Close()
	go func() {
		defer caller.Close()
		pass(caller, runner, func([]byte) float64 { return 0 })
	}()
	pass(runner, caller, k.Loses)
}

// packet is the size of a packet's content.
const packet = 1400

// pass copies bytes until one side ends. Bytes that a caller sent before its end still arrive, as
// they do if a connection is closed in order.
func pass(to, from net.Conn, loses func([]byte) float64) {
	buffer := make([]byte, packet)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			late := delay(loses(buffer[:n]))
			if late > givenUp {
				return
			}
			time.Sleep(late)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay returns how long a packet is on its way longer than usual.
func delay(loss float64) time.Duration {
	total, next := time.Duration(0), resendAfter
	for rand.Float64() < loss {
		total += next
		next *= 2
	}
	return total
}
