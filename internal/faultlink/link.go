// Package faultlink has network links on loopback that cut, delay and reset what goes over them. Packages faults and scale use it.
package faultlink

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// State is what a link does to what goes over it: TCP connections and UDP packets. Slow and Reorder are for TCP only. The zero value
// passes everything on.
type State struct {
	CutTo   bool          // nothing that the caller sends arrives
	CutFrom bool          // nothing that the called process sends arrives
	Delay   time.Duration // of each piece, in either direction: a round trip takes twice as long
	Spread  time.Duration // a random further delay up to this
	Slow    bool          // passes slowPiece bytes every slowInterval
	Reorder time.Duration // new connections are delayed at random up to this, so that later ones overtake them
}

// randomSource is the random source of a seed for delays. Package faults uses others with the same seed.
const randomSource = 1

const (
	slowPiece      = 64 // bytes
	slowInterval   = 20 * time.Millisecond
	maxPiece       = 32 << 10 // bytes of a connection that are passed on at a time
	maxPacketBytes = 64 << 10
	listenAttempts = 20 // to find a port that is free for TCP and UDP
)

// Link is a network link on loopback from one process to another's listener: for TCP in both directions, and, at the same port, for
// UDP towards the listener. Answers over UDP go over the link of the opposite direction. Bytes that meet a cut wait; when it
// ends, their connections are reset, as those of a machine that was unreachable. Packets that meet a cut are lost. Link is safe
// for use by several goroutines.
type Link struct {
	listener net.Listener
	packets  net.PacketConn
	target   string // address of the listener at the other end

	mu      sync.Mutex
	state   State
	conns   map[net.Conn]bool // open connections, at both sides of the link
	waiting map[net.Conn]bool // those that carry bytes which wait at a cut
	rng     *rand.Rand
	closed  bool
	changed chan struct{} // closed and replaced at each change of state
}

// New opens a link to a target address, on a loopback port that the system chooses. The seed decides the random delays. The caller
// must close the link.
func New(target string, seed uint64) (*Link, error) {
	listener, packets, err := listenBoth()
	if err != nil {
		return nil, err
	}
	link := &Link{
		listener: listener,
		packets:  packets,
		target:   target,
		conns:    map[net.Conn]bool{},
		waiting:  map[net.Conn]bool{},
		rng:      rand.New(rand.NewPCG(seed, randomSource)),
		changed:  make(chan struct{}),
	}
	go link.serve()
	go link.relayPackets()
	return link, nil
}

// listenBoth listens at one port for TCP and UDP.
func listenBoth() (net.Listener, net.PacketConn, error) {
	var lastErr error
	for range listenAttempts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, packets, nil
		}
		_ = listener.Close() // it has no connections yet
		lastErr = err
	}
	return nil, nil, lastErr
}

// Address returns the address at which the caller reaches the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes what the link does from now on.
func (l *Link) Set(state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCut, isCut := l.state.CutTo || l.state.CutFrom, state.CutTo || state.CutFrom
	if wasCut && !isCut {
		for conn := range l.waiting {
			reset(conn)
		}
		clear(l.waiting)
	}
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections that go over the link now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

// Close closes the link and resets its connections. The goroutines of the link end soon.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close() // no connection is accepted after it, whatever it returns
	_ = l.packets.Close()  // likewise
	l.Reset()
	l.Set(State{})
}

// reset closes a connection so that its peer sees it reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // what it has not sent is lost on purpose
}

// current returns the state, and a delay drawn for a piece that goes over the link in it.
func (l *Link) current() (State, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.state.Delay + l.randomDelay(l.state.Spread)
}

// randomDelay draws a delay below a limit; it is 0 if the limit is. The caller holds l.mu.
func (l *Link) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(limit)))
}

// relayPackets passes packets on until the link is closed. Random delays make later ones overtake earlier ones.
func (l *Link) relayPackets() {
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return
	}
	buffer := make([]byte, maxPacketBytes)
	for {
		size, _, err := l.packets.ReadFrom(buffer)
		if err != nil {
			if l.isClosed() {
				return
			}
			continue // an earlier packet found no listener
		}
		state, delay := l.current()
		if state.CutTo {
			continue
		}
		packet := append([]byte(nil), buffer[:size]...)
		send := func() { _, _ = l.packets.WriteTo(packet, target) } // a packet may be lost
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}

// isClosed reports whether the link is closed.
func (l *Link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// serve accepts connections until the link is closed.
func (l *Link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(conn)
	}
}

// connect connects an accepted connection to the target and passes on what goes over them. It returns when both are closed.
func (l *Link) connect(caller net.Conn) {
	l.mu.Lock()
	delay := l.randomDelay(l.state.Reorder)
	l.mu.Unlock()
	time.Sleep(delay)
	called, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(caller)
		return
	}
	if !l.add(caller, called) {
		reset(caller)
		reset(called)
		return
	}
	defer l.remove(caller, called)
	var passing sync.WaitGroup
	passing.Go(func() { l.pass(caller, called, func(state State) bool { return state.CutTo }) })
	passing.Go(func() { l.pass(called, caller, func(state State) bool { return state.CutFrom }) })
	passing.Wait()
}

// add adds the two sides of a connection. It returns false if the link is closed.
func (l *Link) add(caller, called net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[caller], l.conns[called] = true, true
	return true
}

// remove removes the two sides of a connection.
func (l *Link) remove(caller, called net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range []net.Conn{caller, called} {
		delete(l.conns, conn)
		delete(l.waiting, conn)
	}
}

// pass passes one direction of a connection on, piece by piece, and closes both sides when it ends. cut says whether a state cuts this
// direction.
func (l *Link) pass(from, to net.Conn, cut func(State) bool) {
	defer func() {
		_ = from.Close() // the bytes that it has not delivered are lost
		_ = to.Close()   // likewise
	}()
	buffer := make([]byte, maxPiece)
	for {
		size, readErr := from.Read(buffer)
		if size > 0 {
			if err := l.delayPiece(from, to, cut); err != nil {
				return
			}
			if err := l.write(to, buffer[:size]); err != nil {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// errCut is the error of a piece that met a cut: its connection is of no use anymore.
var errCut = errors.New("cut")

// delayPiece waits for a piece's delay, and while its direction is cut. It returns errCut after a cut.
func (l *Link) delayPiece(from, to net.Conn, cut func(State) bool) error {
	_, delay := l.current()
	time.Sleep(delay)
	waited := false
	for {
		l.mu.Lock()
		changed, isCut := l.changed, cut(l.state) && !l.closed
		if isCut {
			l.waiting[from], l.waiting[to] = true, true
		}
		l.mu.Unlock()
		if !isCut {
			break
		}
		waited = true
		<-changed
	}
	if waited {
		return errCut
	}
	return nil
}

// write writes a piece, a few bytes at a time while the link is slow.
func (l *Link) write(to net.Conn, piece []byte) error {
	for len(piece) > 0 {
		l.mu.Lock()
		slow := l.state.Slow && !l.closed
		l.mu.Unlock()
		size := len(piece)
		if slow {
			size = min(size, slowPiece)
			time.Sleep(slowInterval)
		}
		if _, err := to.Write(piece[:size]); err != nil {
			return err
		}
		piece = piece[size:]
	}
	return nil
}
