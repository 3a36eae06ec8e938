// Package faultproxy carries the connections and datagrams to one process over a
// loopback address of its own, and harms them as it is told: it delays, resets,
// cuts one direction or silences both.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Impairment is what a proxy does to all that passes.
type Impairment struct {
	delay       time.Duration
	dropToward  bool
	dropAnswers bool
}

// None lets everything pass.
func None() Impairment { return Impairment{} }

// Delay holds each piece of data for a while, in both directions.
func Delay(by time.Duration) Impairment { return Impairment{delay: by} }

// DropInbound drops what is sent to the process; what it sends still passes.
func DropInbound() Impairment { return Impairment{dropToward: true} }

// DropOutbound drops what the process sends; what is sent to it still passes.
func DropOutbound() Impairment { return Impairment{dropAnswers: true} }

// DropAll drops everything, as a machine without power does.
func DropAll() Impairment { return Impairment{dropToward: true, dropAnswers: true} }

// copySize is the size of one read, maximumDatagram that of the largest datagram.
const (
	copySize        = 16 << 10
	maximumDatagram = 64 << 10
	dialTimeout     = time.Second
	// healCheck is how often a held connection looks whether the harm is over.
	healCheck = 10 * time.Millisecond
)

// Proxy stands before one process.
type Proxy struct {
	target   string
	listener net.Listener
	packets  net.PacketConn

	mutex sync.Mutex
	harm  Impairment
	pairs map[*pair]struct{}
}

// Open listens on an address and carries everything to the target, on TCP and UDP.
func Open(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections")
	}
	packets, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Proxy{target: target, listener: listener, packets: packets, pairs: make(map[*pair]struct{})}, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the harm. Data that a silent direction swallowed stays lost; its
// connections are reset when the harm ends, as their ends are out of step then.
func (p *Proxy) Set(harm Impairment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.harm = harm
	if harm.dropToward || harm.dropAnswers {
		return
	}
	for each := range p.pairs {
		if each.lost {
			each.reset()
		}
	}
}

// Reset breaks all open connections off.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for each := range p.pairs {
		each.reset()
	}
}

func (p *Proxy) current() Impairment {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.harm
}

// Run carries until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		p.listener.Close()
		p.packets.Close()
		p.Reset()
	})
	defer stop()
	go p.carryDatagrams()
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(ctx, near)
	}
}

// pair is one connection through the proxy.
type pair struct {
	near, far net.Conn
	// lost tells that some of its data was dropped.
	lost bool
}

// reset ends both connections without a farewell.
func (c *pair) reset() {
	for _, each := range []net.Conn{c.near, c.far} {
		if tcp, ok := each.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = each.Close()
	}
}

func (p *Proxy) carry(ctx context.Context, near net.Conn) {
	// The packet that opens a connection is lost on a silent link.
	for p.current().dropToward {
		select {
		case <-ctx.Done():
			near.Close()
			return
		case <-time.After(healCheck):
		}
	}
	far, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		near.Close()
		return
	}
	made := &pair{near: near, far: far}
	p.mutex.Lock()
	p.pairs[made] = struct{}{}
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(made, far, near, func(h Impairment) bool { return h.dropToward }) })
	both.Go(func() { p.copy(made, near, far, func(h Impairment) bool { return h.dropAnswers }) })
	both.Wait()
	p.mutex.Lock()
	delete(p.pairs, made)
	p.mutex.Unlock()
	near.Close()
	far.Close()
}

// copy carries one direction. An end that closes is told to the other end unless
// the direction is silent.
func (p *Proxy) copy(made *pair, to, from net.Conn, drops func(Impairment) bool) {
	buffer := make([]byte, copySize)
	for {
		n, err := from.Read(buffer)
		harm := p.current()
		if drops(harm) {
			p.mutex.Lock()
			made.lost = true
			p.mutex.Unlock()
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(harm.delay)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			p.mutex.Lock()
			made.reset()
			p.mutex.Unlock()
			return
		}
	}
}

func (p *Proxy) carryDatagrams() {
	onward, err := net.Dial("udp", p.target)
	if err != nil {
		return
	}
	defer onward.Close()
	buffer := make([]byte, maximumDatagram)
	for {
		n, _, err := p.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if harm := p.current(); !harm.dropToward {
			// A process that is down refuses; the datagram is lost.
			_, _ = onward.Write(buffer[:n])
		}
	}
}
