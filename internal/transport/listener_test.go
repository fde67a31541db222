package transport

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// At the connection limit, connections are evicted in the order of evictionRank: a client that goes on with its request, or that has
// only this idle connection during a shutdown, comes after those that a crowd leaves open. A connection with unread bytes is
// not silent. An idle connection between jobs comes after a stalled request, as its client may have no other.
func TestEvictionOrder(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener := NewListener(l, slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Now()
	add := func(phase phase, age time.Duration, hasCarriedJob bool) (*Conn, net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := l.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close(); near.Close() })
		conn := &Conn{TCPConn: near, listener: listener, phase: phase, phaseSince: now.Add(-age), hasCarriedJob: hasCarriedJob}
		listener.conns[conn] = struct{}{}
		return conn, far
	}
	add(phaseServing, time.Hour, true)
	continued, _ := add(phaseReading, 100*time.Millisecond, false)
	unread, far := add(phaseNew, time.Second, false)
	if _, err := far.Write([]byte("P")); err != nil {
		t.Fatal(err)
	}
	for !unread.hasUnreadBytes() { // until it is there
		time.Sleep(time.Millisecond)
	}
	idle, _ := add(phaseIdle, time.Second, true)
	idleLonger, _ := add(phaseIdle, 2*time.Second, true)
	justConnected, _ := add(phaseNew, time.Millisecond, false)
	stalled, _ := add(phaseReading, time.Second, false)
	neverUsed, _ := add(phaseIdle, time.Second, false)
	silent, _ := add(phaseNew, 100*time.Millisecond, false)
	for i, want := range []*Conn{silent, neverUsed, stalled, idleLonger, idle, justConnected, continued, unread, nil} {
		got := listener.leastUseful(now)
		if got != want {
			t.Fatalf("%d: phase %v", i, got)
		}
		delete(listener.conns, got)
	}
}
