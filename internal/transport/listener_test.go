package transport

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// TestListener_evictionOrder checks that at the connection limit connections are evicted in the order of evictionRank: first silent
// and unused connections, then stalled requests, then idle connections between jobs (the longest idle first; their clients may have
// no other connection), then new connections. Connections on which a request is being received come last; a connection with unread
// bytes is among them, not silent. Connections with a job in flight are never evicted.
func TestListener_evictionOrder(t *testing.T) {
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	listener := NewListener(socket, slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Now()
	addConn := func(phase phase, age time.Duration, hasCarriedJob bool) (*Conn, net.Conn) {
		client, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := socket.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close(); accepted.Close() })
		conn := &Conn{TCPConn: accepted, listener: listener, phase: phase, phaseSince: now.Add(-age), hasCarriedJob: hasCarriedJob}
		listener.conns[conn] = struct{}{}
		return conn, client
	}
	addConn(phaseServing, time.Hour, true)
	reading, _ := addConn(phaseReading, 100*time.Millisecond, false)
	unread, unreadClient := addConn(phaseNew, time.Second, false)
	if _, err := unreadClient.Write([]byte("P")); err != nil {
		t.Fatal(err)
	}
	for !unread.hasUnreadBytes() { // until the kernel has delivered the byte
		time.Sleep(time.Millisecond)
	}
	idle, _ := addConn(phaseIdle, time.Second, true)
	idleLonger, _ := addConn(phaseIdle, 2*time.Second, true)
	justConnected, _ := addConn(phaseNew, time.Millisecond, false)
	stalled, _ := addConn(phaseReading, time.Second, false)
	neverUsed, _ := addConn(phaseIdle, time.Second, false)
	silent, _ := addConn(phaseNew, 100*time.Millisecond, false)
	for i, want := range []*Conn{silent, neverUsed, stalled, idleLonger, idle, justConnected, reading, unread, nil} {
		got := listener.leastUseful(now)
		if got != want {
			t.Fatalf("eviction %d: unexpected connection %v", i, got)
		}
		delete(listener.conns, got)
	}
}
