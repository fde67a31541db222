// Package faults plays faults between processes: links that lose, delay and reset what goes over them, and processes that
// are stopped, killed and started anew, by a schedule drawn from a seed. Everything stays on loopback.
package faults

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// State is what a link does now.
type State struct {
	CutTo   bool          // nothing that the one who calls says arrives
	CutFrom bool          // nothing that the one who is called says does
	Delay   time.Duration // of each piece, one way
	Spread  time.Duration // and up to so much more
	Slow    bool          // a few bytes at a time
	Reorder time.Duration // new connections are passed on after up to so long, so that later ones overtake
}

// Link is a way from one process to another's listener, over TCP, and over UDP at the same ports: packets go one way there,
// and answers by the other's own link. Bytes that meet a cut wait there; once it ends their connections are
// reset, as those of a machine that was cut off.
type Link struct {
	listener net.Listener
	packets  net.PacketConn
	to       string

	mu      sync.Mutex
	state   State
	delayed map[net.Conn]bool // connections on which something waits
	conns   map[net.Conn]bool
	rng     *rand.Rand
	over    bool
	moved   chan struct{} // closed at each change
}

// NewLink listens on a loopback port of the system's choice and passes on to an address.
func NewLink(to string, seed uint64) (*Link, error) {
	var l net.Listener
	var packets net.PacketConn
	var err error
	for range 20 { // until a port is free for both
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		if packets, err = net.ListenPacket("udp", l.Addr().String()); err == nil {
			break
		}
		l.Close()
	}
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, packets: packets, to: to, delayed: map[net.Conn]bool{}, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), moved: make(chan struct{})}
	go k.serve()
	go k.relay()
	return k, nil
}

// relay passes packets on. What meets a cut is lost; delays have later ones overtake.
func (k *Link) relay() {
	to, err := net.ResolveUDPAddr("udp", k.to)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := k.packets.ReadFrom(buf)
		if err != nil {
			k.mu.Lock()
			over := k.over
			k.mu.Unlock()
			if over {
				return
			}
			continue // nobody listens where one went
		}
		k.mu.Lock()
		s := k.state
		delay := k.delay(s)
		k.mu.Unlock()
		if s.CutTo {
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		if delay == 0 {
			_, _ = k.packets.WriteTo(text, to)
		} else {
			time.AfterFunc(delay, func() { _, _ = k.packets.WriteTo(text, to) })
		}
	}
}

// delay draws a piece's; k.mu is held.
func (k *Link) delay(s State) time.Duration {
	delay := s.Delay
	if s.Spread > 0 {
		delay += time.Duration(k.rng.Int64N(int64(s.Spread)))
	}
	return delay
}

// Address is where the one who calls reaches it.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes what it does.
func (k *Link) Set(s State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if (k.state.CutTo || k.state.CutFrom) && !s.CutTo && !s.CutFrom {
		for c := range k.delayed {
			reset(c)
		}
		k.delayed = map[net.Conn]bool{}
	}
	k.state = s
	close(k.moved)
	k.moved = make(chan struct{})
}

// Reset breaks all connections that go over it now.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// Close ends it.
func (k *Link) Close() {
	k.mu.Lock()
	k.over = true
	k.mu.Unlock()
	k.listener.Close()
	k.packets.Close()
	k.Reset()
	k.Set(State{})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (k *Link) serve() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			k.mu.Lock()
			overtaken := k.delay(State{Spread: k.state.Reorder})
			k.mu.Unlock()
			time.Sleep(overtaken)
			out, err := net.Dial("tcp", k.to)
			if err != nil {
				reset(in)
				return
			}
			k.mu.Lock()
			k.conns[in], k.conns[out] = true, true
			over := k.over
			k.mu.Unlock()
			if over {
				reset(in)
				reset(out)
				return
			}
			var wait sync.WaitGroup
			wait.Go(func() { k.pass(in, out, func(s State) bool { return s.CutTo }) })
			wait.Go(func() { k.pass(out, in, func(s State) bool { return s.CutFrom }) })
			wait.Wait()
			k.mu.Lock()
			for _, c := range []net.Conn{in, out} {
				delete(k.conns, c)
				delete(k.delayed, c)
			}
			k.mu.Unlock()
		}()
	}
}

var errCut = errors.New("cut")

// pass carries one direction, piece by piece.
func (k *Link) pass(from, to net.Conn, cut func(State) bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if k.hold(from, to, cut) != nil {
				return
			}
			if k.write(to, buf[:n]) != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write writes a piece, a few bytes at a time where the link is slow.
func (k *Link) write(to net.Conn, text []byte) error {
	for len(text) > 0 {
		k.mu.Lock()
		slow := k.state.Slow && !k.over
		k.mu.Unlock()
		n := len(text)
		if slow {
			n = min(n, slowPiece)
			time.Sleep(slowEvery)
		}
		if _, err := to.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

const (
	slowPiece = 64 // bytes
	slowEvery = 20 * time.Millisecond
)

// hold waits out a piece's delay, and a cut; behind a cut its connection is of no use any more.
func (k *Link) hold(from, to net.Conn, cut func(State) bool) error {
	k.mu.Lock()
	s := k.state
	delay := k.delay(s)
	k.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	waited := false
	for {
		k.mu.Lock()
		moved, stands := k.moved, cut(k.state) && !k.over
		if stands {
			k.delayed[from], k.delayed[to] = true, true
		}
		k.mu.Unlock()
		if !stands {
			break
		}
		waited = true
		<-moved
	}
	if waited {
		return errCut
	}
	return nil
}
