package transport

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// What makes room, and in which order: a client that goes on with its request, or one that has only this idle
// connection while a process leaves, is closed behind all that a crowd leaves standing. What waits unread is no
// silence. Once idle connections went before requests that had stopped half way, and who had nothing else lost all.
func TestEvictionOrder(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g := NewListener(l, slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Now()
	add := func(p phase, age time.Duration, client bool) (*Conn, net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := l.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close(); near.Close() })
		c := &Conn{TCPConn: near, listener: g, phase: p, phaseSince: now.Add(-age), hasCarriedJob: client}
		g.conns[c] = struct{}{}
		return c, far
	}
	add(phaseServing, time.Hour, true)
	goesOn, _ := add(phaseReading, 100*time.Millisecond, false)
	unread, far := add(phaseNew, time.Second, false)
	if _, err := far.Write([]byte("P")); err != nil {
		t.Fatal(err)
	}
	for !unread.hasUnreadBytes() { // until it is there
		time.Sleep(time.Millisecond)
	}
	idler, _ := add(phaseIdle, time.Second, true)
	longer, _ := add(phaseIdle, 2*time.Second, true)
	justCome, _ := add(phaseNew, time.Millisecond, false)
	stalled, _ := add(phaseReading, time.Second, false)
	asked, _ := add(phaseIdle, time.Second, false)
	mute, _ := add(phaseNew, 100*time.Millisecond, false)
	for i, want := range []*Conn{mute, asked, stalled, longer, idler, justCome, goesOn, unread, nil} {
		got := g.leastUseful(now)
		if got != want {
			t.Fatalf("%d: phase %v", i, got)
		}
		delete(g.conns, got)
	}
}
