// Package faultproxy is a small TCP proxy that makes the faults of networks:
// cut, frozen, slow and refused connections, and answers lost after the
// effect. It is for tests; a proxy of this kind from outside can't be had here.
package faultproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to one address.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	pairs   map[*pair]struct{}
	delay   time.Duration
	refuse  bool
	lossy   bool
	stopped bool
	// packetDelay returns the delay of a client's packet, or Lost; nil delays none.
	packetDelay func(packet []byte) time.Duration
	// silent is set while nothing passes; it is closed when bytes pass again.
	silent chan struct{}
}

// pair is one connection and its other half.
type pair struct {
	client, server net.Conn
	frozen         chan struct{}
	once           sync.Once
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

func (p *pair) freeze() {
	p.once.Do(func() { close(p.frozen) })
}

// New listens on a free port of loopback and forwards to target.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.listener.Close()
	p.SetSilent(false)
	p.Cut()
}

// Cut closes the open connections; new ones work.
func (p *Proxy) Cut() {
	p.each((*pair).close)
}

// Freeze makes the open connections silent for good, without closing them;
// new ones work.
func (p *Proxy) Freeze() {
	p.each((*pair).freeze)
}

func (p *Proxy) each(do func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		do(pair)
	}
}

// SetDelay delays everything that passes from now on.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetSilent holds back everything that arrives, also on new connections, until it is called
// with false or the proxy ends.
func (p *Proxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.silent == nil && !p.stopped:
		p.silent = make(chan struct{})
	case !silent && p.silent != nil:
		close(p.silent)
		p.silent = nil
	}
}

// awaitSpeech waits until the proxy is not silent.
func (p *Proxy) awaitSpeech() {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// SetRefuse makes new connections end at once.
func (p *Proxy) SetRefuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// SetLoseAnswers drops what the target answers: requests take effect, and the
// connection is closed instead of the answer coming back.
func (p *Proxy) SetLoseAnswers(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = lose
}

// Lost is the delay of a packet that never arrives; its connection ends.
const Lost time.Duration = -1

// DelayPackets delays each packet of a client by what delay returns for it, or loses it; nil delays
// none. What is on its way arrives also if the client has closed the connection meanwhile.
func (p *Proxy) DelayPackets(delay func(packet []byte) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packetDelay = delay
}

func (p *Proxy) delayOf(packet []byte) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packetDelay == nil {
		return 0
	}
	return p.packetDelay(packet)
}

func (p *Proxy) state() (delay time.Duration, refuse, lossy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, p.refuse, p.lossy
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if _, refuse, _ := p.state(); refuse {
			client.Close()
			continue
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	pair := &pair{client: client, server: server, frozen: make(chan struct{})}
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		pair.close()
		return
	}
	p.pairs[pair] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(pair, server, client, false) })
	wg.Go(func() { p.copy(pair, client, server, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

const bufferSize = 32 << 10

// copy passes bytes on until one side ends, or swallows them once frozen.
func (p *Proxy) copy(pair *pair, to, from net.Conn, answers bool) {
	defer pair.close()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		delay, _, lossy := p.state()
		if answers && lossy {
			return
		}
		time.Sleep(delay)
		if !answers {
			onTheWay := p.delayOf(buffer[:n])
			if onTheWay == Lost {
				return
			}
			time.Sleep(onTheWay)
		}
		p.awaitSpeech()
		select {
		case <-pair.frozen:
			continue
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
