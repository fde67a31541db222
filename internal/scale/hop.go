package scale

import (
	"io"
	"net"
	"sync"

	"brassdale/internal/traffic"
)

// hop is behind a link, before whom it leads to, and counts what the link carries: a link itself does not.
type countingProxy struct {
	listener net.Listener
	target   string
	meter    *traffic.Meter // of the way from it on

	mu    sync.Mutex
	conns map[net.Conn]bool // nil once it is closed
}

// hops is how often a byte that goes over a link with a hop is on the interface more often than without.
const extraProxyTransits = 2

func newCountingProxy(to string, meter *traffic.Meter) (*countingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &countingProxy{listener: l, target: to, meter: meter, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.forward(c)
		}
	}()
	return h, nil
}

// pass carries a connection until either side ends it.
func (h *countingProxy) forward(in net.Conn) {
	defer in.Close()
	to, err := net.Dial("tcp", h.target)
	if err != nil {
		return
	}
	out := h.meter.Of(to, traffic.Other)
	defer out.Close()
	if !h.track(in) {
		return
	}
	defer h.untrack(in)
	var wait sync.WaitGroup
	for _, direction := range [][2]net.Conn{{in, out}, {out, in}} {
		wait.Go(func() {
			_, _ = io.Copy(direction[1], direction[0])
			in.Close()
			out.Close()
		})
	}
	wait.Wait()
}

func (h *countingProxy) track(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		return false
	}
	h.conns[c] = true
	return true
}

func (h *countingProxy) untrack(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// Close ends it, and what it carries.
func (h *countingProxy) Close() error {
	err := h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
	h.conns = nil
	return err
}
