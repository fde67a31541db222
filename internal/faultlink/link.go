// Package faultlink provides network links on loopback that can cut, delay and reset their traffic. Packages faults and scale use it.
package faultlink

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// State is the fault of a link for its TCP connections and UDP packets. Slow and Reorder apply to TCP only. The zero value forwards
// everything.
type State struct {
	CutTo   bool          // nothing that the caller sends is delivered
	CutFrom bool          // nothing that the called process sends is delivered
	Delay   time.Duration // of each chunk, in each direction: a round trip takes twice as long
	Spread  time.Duration // limit of a random additional delay
	Slow    bool          // forwards slowChunkBytes every slowInterval
	Reorder time.Duration // limit of a random delay of new connections, so that later ones overtake earlier ones
}

// randomSource is the random source for delays. Package faults uses other sources with the same seed.
const randomSource = 1

const (
	slowChunkBytes = 64
	slowInterval   = 20 * time.Millisecond
	maxChunkBytes  = 32 << 10 // of a connection, forwarded at a time
	maxPacketBytes = 64 << 10
	listenAttempts = 20 // to find a port that is free for both TCP and UDP
)

// Link is a network link on loopback from one process to another process's listener. It forwards TCP in both directions and, at the same
// port, UDP towards the listener; UDP responses use the link of the opposite direction. Bytes that reach a cut wait. When the cut ends,
// their connections are reset, like connections to a machine that was unreachable. Packets that reach a cut are lost. Link is safe for
// concurrent use.
type Link struct {
	listener net.Listener
	packets  net.PacketConn
	target   string // address of the listener at the other end

	mu      sync.Mutex
	state   State
	conns   map[net.Conn]bool // open connections on both sides of the link
	waiting map[net.Conn]bool // connections with bytes that wait at a cut
	rng     *rand.Rand
	closed  bool
	changed chan struct{} // closed and replaced at each change of state
}

// New opens a link to a target address, on a loopback port that the system chooses. The random delays are drawn from the seed. The caller
// must close the link.
func New(target string, seed uint64) (*Link, error) {
	listener, packets, err := listenTCPAndUDP()
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

// listenTCPAndUDP listens for TCP and UDP on one port.
func listenTCPAndUDP() (net.Listener, net.PacketConn, error) {
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

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set sets the state of the link from now on.
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

// Reset resets all connections that are open now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

// Close closes the link and resets its connections. It does not wait until the link's goroutines have ended.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close() // no connection is accepted afterwards, even on an error
	_ = l.packets.Close()  // likewise
	l.Reset()
	l.Set(State{})
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // unsent bytes are lost on purpose
}

// current returns the state, and a delay drawn for one chunk or packet.
func (l *Link) current() (State, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.state.Delay + l.randomDelay(l.state.Spread)
}

// randomDelay draws a delay below the limit, or returns 0 if the limit is 0. The caller holds l.mu.
func (l *Link) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(limit)))
}

// relayPackets forwards packets until the link is closed. With random delays, later packets overtake earlier ones.
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
			continue // an earlier packet reached a port without a listener
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

// connect connects an accepted connection to the target and forwards data in both directions. It returns when both connections are closed.
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
	var forwarding sync.WaitGroup
	forwarding.Go(func() { l.forward(caller, called, func(state State) bool { return state.CutTo }) })
	forwarding.Go(func() { l.forward(called, caller, func(state State) bool { return state.CutFrom }) })
	forwarding.Wait()
}

// add records the two sides of a connection. It returns false if the link is closed.
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

// forward forwards one direction of a connection in chunks, and closes both sides when it ends. The function cut reports whether a state
// cuts this direction.
func (l *Link) forward(from, to net.Conn, cut func(State) bool) {
	defer func() {
		_ = from.Close() // undelivered bytes are lost
		_ = to.Close()   // likewise
	}()
	buffer := make([]byte, maxChunkBytes)
	for {
		size, readErr := from.Read(buffer)
		if size > 0 {
			if err := l.delayChunk(from, to, cut); err != nil {
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

// errCut is the error of a chunk that reached a cut; its connection is reset when the cut ends.
var errCut = errors.New("cut")

// delayChunk waits for a chunk's delay, and while its direction is cut. It returns errCut if there was a cut.
func (l *Link) delayChunk(from, to net.Conn, cut func(State) bool) error {
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

// write writes a chunk, slowChunkBytes at a time while the link is slow.
func (l *Link) write(to net.Conn, chunk []byte) error {
	for len(chunk) > 0 {
		l.mu.Lock()
		slow := l.state.Slow && !l.closed
		l.mu.Unlock()
		size := len(chunk)
		if slow {
			size = min(size, slowChunkBytes)
			time.Sleep(slowInterval)
		}
		if _, err := to.Write(chunk[:size]); err != nil {
			return err
		}
		chunk = chunk[size:]
	}
	return nil
}
