package scale

import (
	"io"
	"net"
	"sync"

	"brassdale/internal/traffic"
)

// countingProxy forwards connections to a target and counts their bytes. It is placed between a link and the link's target, because links
// do not count bytes.
type countingProxy struct {
	listener net.Listener
	target   string
	meter    *traffic.Meter // of the connections to the target

	mu          sync.Mutex
	connections map[net.Conn]bool // accepted and open; nil once the proxy is closed
}

// extraProxyTransits is how many additional times a byte crosses the loopback interface if it goes through a link and a proxy.
const extraProxyTransits = 2

// newCountingProxy starts a proxy on a loopback port that the system chooses.
func newCountingProxy(target string, meter *traffic.Meter) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: listener, target: target, meter: meter, connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns where the proxy listens.
func (p *countingProxy) address() string { return p.listener.Addr().String() }

// accept forwards connections until the proxy is closed.
func (p *countingProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward forwards a connection until either side ends it, or the proxy is closed.
func (p *countingProxy) forward(client net.Conn) {
	defer closeForwarded(client)
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	target := p.meter.Conn(conn, traffic.Other)
	defer closeForwarded(target)
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	var copying sync.WaitGroup
	forwardTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // either side may reset the connection, which ends both directions
		closeForwarded(client)
		closeForwarded(target)
	}
	copying.Go(func() { forwardTo(target, client) })
	copying.Go(func() { forwardTo(client, target) })
	copying.Wait()
}

// closeForwarded closes a side of a forwarded connection. The error is ignored: a side may have been closed by the other direction.
func closeForwarded(conn net.Conn) { _ = conn.Close() }

// track adds an open connection. It returns false if the proxy is closed.
func (p *countingProxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections == nil {
		return false
	}
	p.connections[conn] = true
	return true
}

// untrack removes a connection that is closed.
func (p *countingProxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, conn)
}

// close stops the proxy and closes its connections.
func (p *countingProxy) close() {
	_ = p.listener.Close() // closed only here, so it does not fail
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		closeForwarded(conn)
	}
	p.connections = nil
}
